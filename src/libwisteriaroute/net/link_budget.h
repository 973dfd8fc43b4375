#ifndef LIBWISTERIAROUTE_NET_LINK_BUDGET_H_
#define LIBWISTERIAROUTE_NET_LINK_BUDGET_H_

#include <cstddef>
#include <functional>
#include <utility>

namespace wisteriaroute::net {

/** Bytes that all links of a process hold for one purpose, and their limit. */
class link_budget {
 public:
  link_budget(std::size_t limit, std::function<void()> on_exceeded)
      : limit_(limit), on_exceeded_(std::move(on_exceeded)) {}

  /** Calls `on_exceeded` if the limit is then exceeded. */
  void Add(std::size_t bytes) {
    used_ += bytes;
    if (used_ > limit_) {
      on_exceeded_();
    }
  }
  void Remove(std::size_t bytes) { used_ -= bytes; }
  bool exceeded() const { return used_ > limit_; }
  std::size_t used() const { return used_; }

 private:
  std::size_t used_ = 0;
  std::size_t limit_;
  std::function<void()> on_exceeded_;
};

}  // namespace wisteriaroute::net

#endif  // LIBWISTERIAROUTE_NET_LINK_BUDGET_H_
