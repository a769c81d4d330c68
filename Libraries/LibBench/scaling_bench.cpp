#include "LibBench/scaling_bench.h"

#include "LibConfig/configuration_codec.h"
#include "LibLedger/bill.h"
#include "LibMembership/member_table.h"
#include "LibPeer/frame_codec.h"
#include "LibRouting/router.h"

#include <fstream>
#include <unistd.h>

namespace azurehaven::bench {

using nlohmann::json;

namespace {

const steady_time Start{std::chrono::hours(1)};

double residentBytes() {
  std::ifstream File("/proc/self/statm");
  std::size_t TotalPages = 0;
  std::size_t ResidentPages = 0;
  File >> TotalPages >> ResidentPages;
  return static_cast<double>(ResidentPages) *
         static_cast<double>(sysconf(_SC_PAGESIZE));
}

/// Returns the mean duration of a call, in microseconds.
template <typename Task> double meanMicroseconds(int Rounds, Task Work) {
  const auto Before = std::chrono::steady_clock::now();
  for (int Round = 0; Round < Rounds; ++Round)
    Work();
  return std::chrono::duration<double, std::micro>(
             std::chrono::steady_clock::now() - Before)
             .count() /
         Rounds;
}

version_id makeVersionId(std::size_t Number) {
  return version_id("model-" + std::to_string(Number / 2) + "@" +
                    std::to_string(Number % 2 + 1));
}

configuration makeConfiguration(std::size_t Versions, std::size_t Accounts,
                                std::size_t Vms) {
  configuration Configuration;
  Configuration.Version = 1;
  for (std::size_t Number = 0; Number < Versions; ++Number) {
    model_version Version;
    Version.Id = makeVersionId(Number);
    Version.Model = model_id("model-" + std::to_string(Number / 2));
    Version.PromptPrice = micro_euros(10);
    Version.CompletionPrice = micro_euros(30);
    Configuration.Versions[Version.Id] = Version;
  }
  for (std::size_t Number = 0; Number < Accounts; ++Number) {
    client_account Account;
    Account.Id = client_account_id("account-" + std::to_string(Number));
    Account.KeyHash = hashAccountKey(Account.Id.text());
    for (const auto &[Id, Version] : Configuration.Versions)
      Account.AllowedModels.insert(Version.Model);
    Configuration.Accounts[Account.Id] = Account;
  }
  for (std::size_t Number = 0; Number < Vms; ++Number)
    Configuration.Roster.insert(vm_id("entry-" + std::to_string(Number)));
  work_class Class;
  Class.Id = class_id("class");
  Class.QualityTarget = 0.9;
  Class.FirstTokenTarget = milliseconds(560);
  Configuration.Classes[Class.Id] = Class;
  return Configuration;
}

/// Measures routing decisions with the given number of endpoints, distributed
/// over 28 versions.
json measureDecisions(std::size_t Endpoints) {
  constexpr std::size_t Versions = 28;
  const configuration Configuration = makeConfiguration(Versions, 1, 1);
  const double Before = residentBytes();
  auto Router =
      std::make_unique<router>(vm_id("a"), 1, 1, drop_test_settings{});
  std::vector<listed_vm> List;
  for (std::size_t Number = 0; Number < Endpoints; ++Number) {
    listed_vm ListedVm;
    ListedVm.Vm = vm_id("engine-" + std::to_string(Number));
    ListedVm.Kind = vm_kind::Engine;
    ListedVm.Address = {"127.0.0.1", 1};
    List.push_back(ListedVm);
  }
  Router->applyList(List, 5);
  for (std::size_t Number = 0; Number < Endpoints; ++Number)
    Router->updateEndpointReport(
        endpoint_id(List[Number].Vm.text()),
        {{makeVersionId(Number % Versions)}, 8, 1, false, "b"}, Start);
  const double Bytes = residentBytes() - Before;
  routing_request Request;
  Request.Configuration = &Configuration;
  Request.Account = &Configuration.Accounts.begin()->second;
  Request.Class = &Configuration.Classes.begin()->second;
  constexpr int Rounds = 2000;
  const double PlanMicroseconds = meanMicroseconds(
      Rounds, [&] { (void)Router->plan(Request, Start, nullptr); });
  std::uint64_t Key = 1;
  const double AttemptMicroseconds = meanMicroseconds(Rounds, [&] {
    ++Key;
    if (auto Started =
            Router->startAttempt(makeVersionId(0), Key, Key, {}, Start)) {
      attempt_report Report;
      Report.Outcome = attempt_outcome::Cancelled;
      Router->finishAttempt(*Started, *Request.Class, Report, Start);
    }
  });
  const double AdmissionMicroseconds = meanMicroseconds(Rounds, [&] {
    auto Admitted = Router->admit(
        makeVersionId(0),
        {Request.Account->Id, 1, 5, Start + std::chrono::seconds(1)}, Start);
    if (auto *Ticket = std::get_if<admitted>(&Admitted))
      (void)Router->release(makeVersionId(0), Ticket->Ticket, milliseconds(1),
                            Start);
  });
  return {{"endpoints", Endpoints},
          {"plan_us", PlanMicroseconds},
          {"choose_and_finish_us", AttemptMicroseconds},
          {"admit_and_release_us", AdmissionMicroseconds},
          {"bytes_per_endpoint", Bytes / static_cast<double>(Endpoints)}};
}

/// Measures the size and the decoding time of a configuration with 28 versions,
/// 256 audit records and the given numbers of accounts and rostered VMs.
json measureConfiguration(std::size_t Accounts, std::size_t Vms) {
  configuration Configuration = makeConfiguration(28, Accounts, Vms);
  for (std::size_t Number = 0; Number < 256; ++Number) {
    audit_record Record;
    Record.Version = Number;
    Record.Change = change_id("ctl-0123456789abcdef0123456789abcdef");
    Record.Actor = "operator";
    Record.Kind = "put_class";
    Record.Subject = "class/class";
    Configuration.RecentChanges.push_back(Record);
  }
  const std::string Text = encodeConfiguration(Configuration).dump();
  return {{"accounts", Accounts},
          {"roster", Vms},
          {"document_bytes", Text.size()},
          {"decode_us",
           meanMicroseconds(50, [&] { (void)decodeConfiguration(Text); })}};
}

/// Measures a heartbeat frame with the given numbers of entries.
json measureHeartbeat(std::size_t Members, std::size_t Ratings,
                      std::size_t Usage) {
  heartbeat Message;
  Message.ConfirmationAge = milliseconds(100);
  for (std::size_t Number = 0; Number < Members; ++Number)
    Message.Members.push_back({vm_id("entry-" + std::to_string(Number)), 1,
                               member_state::Serving,
                               failure_domain_id("domain-1")});
  for (std::size_t Number = 0; Number < Ratings; ++Number)
    Message.Ratings.push_back(
        {vm_id("entry-1"), 1, makeVersionId(Number), class_id("class"), {}});
  for (std::size_t Number = 0; Number < Usage; ++Number)
    Message.Usage.push_back(
        {client_account_id("account-" + std::to_string(Number)), 3});
  const peer_frame Frame{vm_id("entry-1"), 1, Message};
  const std::string Bytes = encodeFrame(Frame);
  return {
      {"members", Members},
      {"ratings", Ratings},
      {"usage", Usage},
      {"frame_bytes", Bytes.size()},
      {"encode_us", meanMicroseconds(1000, [&] { (void)encodeFrame(Frame); })},
      {"decode_us", meanMicroseconds(1000, [&] { (void)decodeFrame(Bytes); })}};
}

/// Measures a rating pool with the ratings of the given number of origins, each
/// for 28 versions in 3 classes.
json measureRatings(std::size_t Origins) {
  const double Before = residentBytes();
  rating_pool Pool(vm_id("self"), 1);
  std::size_t Notices = 0;
  const auto StartedAt = std::chrono::steady_clock::now();
  for (std::size_t Origin = 0; Origin < Origins; ++Origin)
    for (std::size_t Version = 0; Version < 28; ++Version)
      for (const char *Class : {"a", "b", "c"}) {
        rating_notice Notice{vm_id("entry-" + std::to_string(Origin)),
                             1,
                             makeVersionId(Version),
                             class_id(Class),
                             {}};
        Notice.Buckets[3] = {5, 4000, 5, 0};
        (void)Pool.mergeNotice(Notice);
        ++Notices;
      }
  const double Micros = std::chrono::duration<double, std::micro>(
                            std::chrono::steady_clock::now() - StartedAt)
                            .count();
  return {{"origins", Origins},
          {"notices", Notices},
          {"bytes", residentBytes() - Before},
          {"merge_us", Micros / static_cast<double>(Notices)}};
}

json measureBill() {
  bill Bill;
  Bill.Account = client_account_id("account-1");
  Bill.Request = request_id("entry-1-1796000000000-123456");
  Bill.Class = class_id("survey");
  Bill.Version = version_id("summit@1");
  Bill.Vm = vm_id("entry-1");
  return {
      {"bill_bytes", encodeBill(Bill).size()},
      {"encode_us", meanMicroseconds(1000, [&] { (void)encodeBill(Bill); })}};
}

} // namespace

json runScalingBench() {
  json Results = json::object();
  for (std::size_t Endpoints : {10, 100, 1000, 10000})
    Results["decisions"].push_back(measureDecisions(Endpoints));
  for (auto [Accounts, Vms] :
       {std::pair(10, 5), std::pair(100, 50), std::pair(1000, 780)})
    Results["configuration"].push_back(measureConfiguration(
        static_cast<std::size_t>(Accounts), static_cast<std::size_t>(Vms)));
  for (auto [Members, Ratings, Usage] :
       {std::tuple(0, 0, 0), std::tuple(2, 1, 10), std::tuple(16, 8, 32)})
    Results["heartbeat"].push_back(measureHeartbeat(
        static_cast<std::size_t>(Members), static_cast<std::size_t>(Ratings),
        static_cast<std::size_t>(Usage)));
  for (std::size_t Origins : {5, 50, 780})
    Results["ratings"].push_back(measureRatings(Origins));
  Results["bill"] = measureBill();
  return Results;
}

} // namespace azurehaven::bench
