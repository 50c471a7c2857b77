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

// Identifies a call sent through a pool.
struct call_handle {
  std::weak_ptr<peer_link> link;
  std::uint64_t correlation = 0;
};

// Links of one daemon to all its peers, at most links_per_peer to each peer per I/O context. With
// one I/O context per thread, a call uses a link of the calling thread's context, so that its reply
// arrives on the same thread without locking. All methods may be called from any thread.
class peer_pool {
public:
  // The contexts must outlive the pool.
  peer_pool(const std::vector<asio::io_context*>& contexts, peer_settings settings);
  peer_pool(const peer_pool&) = delete;
  peer_pool& operator=(const peer_pool&) = delete;
  ~peer_pool();

  // Sends a call to the peer; see peer_link::send_call. The call ends as not_run with peer_backlog
  // if a new link is needed, the pool is at its link limit, and no link is idle.
  call_handle send_call(const peer_address& peer, wire::call_request request,
                        support::time_point deadline, reply_callback callback);

  // Cancels a call; does nothing if it has ended.
  static void cancel(const call_handle& handle);

  // Removes the links to a peer that has left; calls in flight run to completion.
  void remove_peer(const peer_address& peer);

  // Stops all links.
  void stop();

  // Number of links.
  std::size_t size() const;

  // Number of calls in flight on all links.
  std::uint64_t in_flight() const;

private:
  struct shard {
    asio::io_context* context = nullptr;
    mutable std::mutex mutex;
    std::map<peer_address, std::vector<std::shared_ptr<peer_link>>> links;
    std::size_t link_count = 0;
    std::uint64_t next_link = 0;
  };

  shard& shard_for_current_thread();
  std::shared_ptr<peer_link> find_or_create_link(shard& local_shard, const peer_address& peer);
  static bool evict_idle_link(shard& local_shard);

  peer_settings settings_;
  std::vector<std::unique_ptr<shard>> shards_;
  std::atomic<std::uint64_t> next_shard_{0};
};

} // namespace acaciasill::net

#endif
