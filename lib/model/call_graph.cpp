#include "call_graph.h"

#include <algorithm>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "absl/strings/str_cat.h"
#include "acaciasill/model/validation.h"

namespace acaciasill::model {
namespace {

using support::result_code;

// Depth-first search over the call graph with an explicit stack, since one long chain in a
// malicious set could overflow the call stack.
class call_graph_checker {
public:
  call_graph_checker(const configuration& set, finding_collector& collector)
      : collector_(collector) {
    for (const auto& each : set.services) {
      nodes_.push_back({&each, {}, {}, 0, nullptr});
      index_.emplace(each.name, nodes_.size() - 1);
    }
    for (auto& each : nodes_) {
      for (const auto& callee : each.object->calls) {
        if (const auto found = index_.find(callee); found != index_.end()) {
          each.callees.push_back(found->second);
        }
      }
    }
  }

  void run() {
    for (std::size_t start = 0; start < nodes_.size(); ++start) {
      if (nodes_[start].state == visit_state::unvisited) {
        search_from(start);
      }
    }
    if (!has_cycle_) {
      report_depth();
    }
  }

private:
  enum class visit_state { unvisited, in_progress, finished };

  struct node {
    const service* object = nullptr;
    std::vector<std::size_t> callees;
    visit_state state = visit_state::unvisited;
    // Number of services in the longest chain that starts here, and the next service of that chain.
    std::size_t chain_length = 0;
    const node* next_in_chain = nullptr;
  };

  struct frame {
    std::size_t node = 0;
    std::size_t next_callee = 0;
  };

  void search_from(std::size_t start) {
    std::vector<frame> path;
    enter(path, start);
    while (!path.empty()) {
      auto& [index, next] = path.back();
      node& current = nodes_[index];
      if (next == current.callees.size()) {
        leave(current);
        path.pop_back();
        continue;
      }
      const std::size_t callee = current.callees[next++];
      if (nodes_[callee].state == visit_state::unvisited) {
        enter(path, callee);
        continue;
      }
      if (nodes_[callee].state == visit_state::in_progress) {
        report_cycle(path, callee);
      }
    }
  }

  void enter(std::vector<frame>& path, std::size_t index) {
    nodes_[index].state = visit_state::in_progress;
    path.push_back({index, 0});
  }

  void leave(node& current) {
    current.state = visit_state::finished;
    current.chain_length = 1;
    for (const auto callee : current.callees) {
      if (nodes_[callee].chain_length + 1 > current.chain_length) {
        current.chain_length = nodes_[callee].chain_length + 1;
        current.next_in_chain = &nodes_[callee];
      }
    }
  }

  void report_cycle(const std::vector<frame>& path, std::size_t callee) {
    has_cycle_ = true;
    const auto start = std::find_if(path.begin(), path.end(),
                                    [callee](const frame& each) { return each.node == callee; });
    std::string text;
    for (auto step = start; step != path.end(); ++step) {
      absl::StrAppend(&text, nodes_[step->node].object->name, " -> ");
    }
    text += nodes_[callee].object->name;
    collector_.add(object_kind::service, nodes_[path.back().node].object->name, "calls",
                   result_code::call_cycle, text);
  }

  // Reports each service that no other service calls and that starts a chain over the limit.
  void report_depth() {
    std::vector<bool> called(nodes_.size(), false);
    for (const auto& each : nodes_) {
      for (const auto callee : each.callees) {
        called[callee] = true;
      }
    }
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (called[i] || nodes_[i].chain_length <= max_call_depth) {
        continue;
      }
      std::string text =
          absl::StrCat(nodes_[i].chain_length, " services, at most ", max_call_depth, ":");
      for (const node* step = &nodes_[i]; step != nullptr; step = step->next_in_chain) {
        absl::StrAppend(&text, " ", step->object->name);
      }
      collector_.add(object_kind::service, nodes_[i].object->name, "calls", result_code::call_depth,
                     text);
    }
  }

  finding_collector& collector_;
  std::vector<node> nodes_;
  std::map<std::string_view, std::size_t> index_;
  bool has_cycle_ = false;
};

} // namespace

void check_call_graph(const configuration& set, finding_collector& collector) {
  call_graph_checker(set, collector).run();
}

} // namespace acaciasill::model
