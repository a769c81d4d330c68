#pragma once

#include "LibEntry/chat_run.h"
#include "LibStore/memory_store.h"

#include <functional>
#include <thread>

namespace azurehaven {

/// A clock that the test sets.
class chat_clock : public clock_source {
public:
  steady_time now() const override { return Now; }
  unix_millis wallNow() const override { return unix_millis(1000000); }
  steady_time Now{std::chrono::hours(1)};
};

enum class response_end {
  Complete,
  /// The connection breaks; the engine runs on.
  Cut,
  /// The engine crashes.
  Crash,
};

/// The chunks of text that an engine returns, and how its response ends.
struct engine_script {
  int ChunkCount = 0;
  response_end End = response_end::Complete;
  double Confidence = 1;
};

/// Host of the addresses of other entry VMs.
constexpr const char *PeerHost = "127.0.0.9";

/// Engines that respond as a script says. An engine that crashes has restarted
/// by the time of the next request.
class scripted_engines : public http_transport {
public:
  /// Argument: the body of the request.
  std::function<engine_script(const std::string &)> Script;
  /// Replaces the responses to requests for the status, if set. Argument: the
  /// number of earlier ones.
  std::function<send_result(std::size_t)> StatusScript;
  /// Responds to requests to the addresses of other entry VMs, if set.
  std::function<open_result(const network_address &, const http_request &)>
      PeerScript;
  std::size_t StatusCount = 0;
  std::size_t OpenedCount = 0;
  std::size_t CrashCount = 0;

  open_result open(const network_address &To, const http_request &Request,
                   const http_timeouts &Timeouts) override;
  /// The status of an engine.
  send_result send(const network_address &To, const http_request &Request,
                   const http_timeouts &Timeouts, connection_use Use) override;
  std::string bootId() const { return std::to_string(CrashCount); }
};

/// One entry VM with EngineCount engines of one version, and a class with a
/// deadline of one second.
class chat_run_fixture {
public:
  explicit chat_run_fixture(int EngineCount = 1);
  ~chat_run_fixture();

  /// Parses a request with these messages, the last one unlike any other.
  chat_request makeRequest(const std::vector<std::string> &SharedMessages);
  /// Reports all engines as up, with their present process starts.
  void reportEngines();
  /// Adds a larger version on an engine of its own, and ratings by which
  /// responses of low confidence are escalated to it.
  void addLargerVersion();
  void loseLargerVersion();
  /// Lists entry VMs that serve callers.
  void addPeers(const std::vector<vm_id> &Vms);
  /// Polls of all engines fail from now on.
  void losePath();
  /// Gives the account of makeRequest() an API key.
  void addKey(const std::string &Key);

  chat_clock Clock;
  scripted_engines Engines;

private:
  class no_custody : public custody_client {
  public:
    std::vector<vm_id> candidates() override { return {}; }
    void request(const vm_id &, std::uint64_t,
                 const std::vector<std::string> &) override {}
    void release(const vm_id &, const std::vector<std::string> &) override {}
  };

  int EngineCount;
  int RequestCount = 0;
  entry_settings Settings;
  null_event_log Log;
  metrics Metrics;
  configuration_holder Configuration;
  configuration_freshness Freshness{vm_id("vm")};
  member_table Members{{vm_id("vm"), 1, member_state::Serving, {}}, {}, {}};
  router Router{vm_id("vm"), 1, 1, {}};
  prompt_crash_registry PromptCrashes;
  admission_gate Gate{Router};
  decision_log Decisions;
  memory_store Store;
  no_custody Custody;
  bill_committer Bills{Store, Custody, vm_id("vm"), 1, {}};
  claim_registry Claims{Store, vm_id("vm"), 1};
  request_id_registry RequestIds;
  rating_sender Ratings{Engines, std::nullopt, 0, Router, Metrics};
  std::atomic<bool> IsStopping = false;
  /// Writes the bills.
  std::thread Flusher;

public:
  const entry_services Services;
};

} // namespace azurehaven
