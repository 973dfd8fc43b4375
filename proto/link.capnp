@0xd1a7c0f0e5b34a11;

# Handshake and message transport between two processes.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("wisteriaroute::proto");

struct Identity {
  name @0 :Text;
  role @1 :Text;
  incarnation @2 :UInt64;
  dataCenter @3 :Text;
  address @4 :Text;
  # Set by the dialling side: interval of its pings on an idle link.
  heartbeatMs @5 :UInt32;
}

struct Message {
  hlc @0 :UInt64;
  body @1 :Data;
}

# Interface for authenticated peers.
interface Channel {
  deliver @0 (batch :List(Message)) -> ();
  ping @1 (hlc :UInt64) -> (hlc :UInt64);
}

# Interface for connections that are not authenticated yet. Each side proves
# that it knows the cluster key by an HMAC over both nonces, the direction and
# the sender's identity.
interface Gate {
  challenge @0 (clientNonce :Data) -> (serverNonce :Data);
  authenticate @1 (identity :Identity, proof :Data, channel :Channel)
      -> (identity :Identity, proof :Data, channel :Channel);
}
