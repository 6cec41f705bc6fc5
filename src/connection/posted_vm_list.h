#pragma once

#include "connection/vm_list.h"

namespace bramleyspoke {

class EventLoop;

/// Passes calls from any thread to a list that must be used on its loop's
/// thread, where the callbacks run.
class PostedVmList final : public VmList {
 public:
  /// `loop` must outlive the object; `list` must live until the loop has
  /// stopped.
  PostedVmList(EventLoop& loop, VmList& list) : m_loop(loop), m_list(list) {}

  void Fetch(
      std::function<void(std::optional<std::vector<VmRecord>>)> done) override;

 private:
  EventLoop& m_loop;
  VmList& m_list;
};

}  // namespace bramleyspoke
