#ifndef ACACIASILL_NET_PEER_POOL_H
#define ACACIASILL_NET_PEER_POOL_H

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include "acaciasill/net/peer_link.h"

namespace acaciasill::net {

// Names a call that was sent through a pool.
struct call_handle {
  std::weak_ptr<peer_link> link;
  std::uint64_t correlation = 0;
};

// The links of one daemon to all its peers, few for each. With one I/O context for each thread, a
// call is sent by the link of the calling thread's context, so that its reply comes back to the
// same thread without a lock. All methods may be called from any thread.
class peer_pool {
public:
  // The contexts outlive the pool.
  peer_pool(const std::vector<asio::io_context*>& contexts, peer_settings settings);
  peer_pool(const peer_pool&) = delete;
  peer_pool& operator=(const peer_pool&) = delete;
  ~peer_pool();

  // Sends a call to the peer; see peer_link::send_call. not_run with peer_backlog where the pool
  // holds its largest number of links and none of them is idle.
  call_handle send_call(const peer_address& peer, wire::call_request request,
                        support::time_point deadline, reply_callback callback);

  // Gives a call up; does nothing where it has ended.
  static void cancel(const call_handle& handle);

  // Drops the links to a peer that has left; calls in flight still end in their own way.
  void forget(const peer_address& peer);

  // Ends all links.
  void stop();

  // Links that are held.
  std::size_t size() const;

  // Calls in flight over all links.
  std::uint64_t in_flight() const;

private:
  struct shard {
    asio::io_context* context = nullptr;
    mutable std::mutex mutex;
    std::map<peer_address, std::vector<std::shared_ptr<peer_link>>> links;
    std::size_t link_count = 0;
    std::uint64_t turn = 0;
  };

  shard& shard_of_this_thread();
  std::shared_ptr<peer_link> link_for(shard& home, const peer_address& peer);
  static bool drop_idle_link(shard& home);

  peer_settings settings_;
  std::vector<std::unique_ptr<shard>> shards_;
  std::atomic<std::uint64_t> turn_{0};
};

} // namespace acaciasill::net

#endif
