@0xb8a5e1d37f20c6a4;

# Types shared by several protocols.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("wisteriaroute::proto");

struct Digest128 {
  high @0 :UInt64;
  low @1 :UInt64;
}

struct Header {
  name @0 :Text;
  value @1 :Data;
}
