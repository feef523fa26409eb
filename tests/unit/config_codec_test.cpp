/// \file
/// \brief Tests the configuration codec: invalid documents are rejected with
/// the positions of all faults, and the example documents are accepted.
#include "wigeonwall/request/codec.h"
#include "wigeonwall/version/config_codec.h"
#include "wigeonwall/version/config_difference.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <fstream>
#include <iterator>

using namespace wigeonwall::version;

namespace {

std::string readFile(const std::string &Path) {
  std::ifstream File(Path);
  return {std::istreambuf_iterator<char>(File), {}};
}

/// Tests run in the root directory of the sources.
Json::Value readExample(const std::string &Name) {
  wigeonwall::request::CodecFault Fault;
  const auto Value = wigeonwall::request::parseJson(
      readFile("examples/" + Name + ".json"), Fault);
  BOOST_REQUIRE_MESSAGE(Value.has_value(), Fault.Message_);
  return *Value;
}

std::string joinPositions(const std::vector<ConfigFault> &Faults) {
  std::vector<std::string> Sorted;
  Sorted.reserve(Faults.size());
  for (const ConfigFault &Fault : Faults)
    Sorted.push_back(Fault.Position_);
  std::sort(Sorted.begin(), Sorted.end());
  std::string Joined;
  for (const std::string &Each : Sorted)
    Joined += (Joined.empty() ? "" : " ") + Each;
  return Joined;
}

struct FaultCase {
  const char *Path_;
  /// Replaces the value at the path; "" removes it.
  const char *Value_;
  const char *Positions_;
};

const FaultCase FaultCases[] = {
    {".format", "2", "/format"},
    {".format", "", "/format"},
    {".services", "[]", "/services"},
    {".services", "{}", "/services"},
    {".services", "", "/services"},
    {".extra", "1", "/extra"},
    {".a~b/c", "1", "/a~0b~1c"},
    {".version", "0", "/version"},
    {".version", "18446744073709551615", "/version"},
    {".edit_id", "\"a b\"", "/edit_id"},
    {".services[0].kinds", "[]", "/services/0/kinds"},
    {".services[0].name", "\"\"", "/services/0/name"},
    {".services[0].kinds[1].name", "\"setback-check\"",
     "/services/0/kinds/1/name"},
    {".services[0].kinds[1]", "7", "/services/0/kinds/1"},
    {".services[0].kinds[0].urgency", "10", "/services/0/kinds/0/urgency"},
    {".services[0].kinds[0].urgency", "-1", "/services/0/kinds/0/urgency"},
    {".services[0].kinds[0].urgency", "1.5", "/services/0/kinds/0/urgency"},
    {".services[0].kinds[0].urgency", "\"1\"", "/services/0/kinds/0/urgency"},
    {".services[0].kinds[0].urgency", "", "/services/0/kinds/0/urgency"},
    {".services[0].kinds[0].weight", "0", "/services/0/kinds/0/weight"},
    {".services[0].kinds[0].weight", "1e300", "/services/0/kinds/0/weight"},
    {".services[0].kinds[0].min_share", "1.01",
     "/services/0/kinds/0/min_share"},
    {".services[0].kinds[0].min_share", "0.7", "/services/0/kinds"},
    {".services[0].kinds[0].queue_limit", "3000000000",
     "/services/0/kinds/0/queue_limit"},
    {".services[0].kinds[0].max_tasks_per_job", "171",
     "/services/0/kinds/0/max_tasks_per_job"},
    {".services[0].kinds[0].max_timeout_ms", "540001",
     "/services/0/kinds/0/max_timeout_ms"},
    {".services[0].kinds[0].non_idempotent", "1",
     "/services/0/kinds/0/non_idempotent"},
    {".services[0].kinds[0].colour", "1", "/services/0/kinds/0/colour"},
    {".teams[1].name", "\"installers\"", "/teams/1/name"},
    {".teams", "[{\"name\":\"a\",\"max_tasks_in_flight\":100}]",
     "/services/0/kinds/0/max_tasks_per_job"},
    {".failure_domains[1].region", "null", "/failure_domains/1/region"},
    {".failure_domains[1].name", "\"midrand\"", "/failure_domains/3/name"},
    {".limits.record_retention_s", "60", "/limits/record_retention_s"},
    {".limits", "", "/limits"},
};

void replace(Json::Value &Document, const FaultCase &Case) {
  wigeonwall::request::CodecFault Fault;
  if (*Case.Value_ != '\0')
    Json::Path(Case.Path_).make(Document) =
        *wigeonwall::request::parseJson(Case.Value_, Fault);
  else if (std::string_view(Case.Path_).rfind('.') == 0)
    Document.removeMember(Case.Path_ + 1);
  else
    Document["services"][0]["kinds"][0].removeMember("urgency");
}

} // namespace

// Guards against accepting a document with an invalid field, and against faults
// reported at the wrong position or more than once.
BOOST_AUTO_TEST_CASE(every_fault_is_rejected_with_its_position) {
  for (const FaultCase &Case : FaultCases)
    BOOST_TEST_CONTEXT(Case.Path_ << " = " << Case.Value_) {
      Json::Value Document = readExample("permit-desk");
      replace(Document, Case);
      std::vector<ConfigFault> Faults;
      BOOST_TEST(!decodeConfig(Document, Faults).has_value());
      BOOST_TEST(joinPositions(Faults) == Case.Positions_);
    }
}

// Guards against reporting only the first fault, which would force operators to
// submit a document once per fault.
BOOST_AUTO_TEST_CASE(all_faults_are_listed_at_once) {
  Json::Value Document = readExample("permit-desk");
  Document["x"] = 1;
  Document["y"] = 1;
  Document["teams"][2]["max_tasks_in_flight"] = -1;
  Document["services"][0]["kinds"][2].removeMember("weight");
  std::vector<ConfigFault> Faults;
  BOOST_TEST(!decodeConfig(Document, Faults).has_value());
  BOOST_TEST(joinPositions(Faults) == "/services/0/kinds/2/weight "
                                      "/teams/2/max_tasks_in_flight /x /y");
  Faults.clear();
  BOOST_TEST(!parseConfig("{\"format\":1", Faults).has_value());
  BOOST_REQUIRE(Faults.size() == 1);
  BOOST_TEST((Faults[0].Code_ == ConfigError::Syntax));
}

// Guards against example documents that are rejected, and against fields lost
// in a round trip.
BOOST_AUTO_TEST_CASE(examples_decode_and_round_trip) {
  for (const char *Name : {"permit-desk", "planting-dispatch"})
    BOOST_TEST_CONTEXT(Name) {
      std::vector<ConfigFault> Faults;
      auto Document = decodeConfig(readExample(Name), Faults);
      BOOST_REQUIRE_MESSAGE(Document.has_value(), joinPositions(Faults));
      BOOST_TEST(Document->findService(Name)->Kinds_.size() == 3);
      Document->Version_ = 5;
      Document->EditId_ = "e-5";
      const StoredConfig Stored{*Document, {{"e-4", 4}, {"e-5", 5}}};
      const Json::Value Encoded = encodeStoredConfig(Stored);
      const auto Decoded = decodeStoredConfig(Encoded, Faults);
      BOOST_REQUIRE_MESSAGE(Decoded.has_value(), joinPositions(Faults));
      BOOST_TEST(encodeStoredConfig(*Decoded) == Encoded);
      BOOST_TEST(diffConfig(*Document, Decoded->Config_).empty());
    }
  std::vector<ConfigFault> Faults;
  const auto Planting = decodeConfig(readExample("planting-dispatch"), Faults);
  const KindConfig *Permit = Planting->findService("planting-dispatch")
                                 ->findKind("permit-confirmation");
  BOOST_REQUIRE(Permit != nullptr);
  BOOST_TEST(Permit->NonIdempotent_);
  BOOST_TEST(Permit->MinShare_ == 0.3);
}

// Guards against a stored list of edits that does not match the document, which
// would let a writer report an edit that never took effect.
BOOST_AUTO_TEST_CASE(stored_edits_must_end_with_the_document) {
  std::vector<ConfigFault> Faults;
  Config Document = *decodeConfig(readExample("permit-desk"), Faults);
  Document.Version_ = 5;
  Document.EditId_ = "e-5";
  const std::vector<ConfigEdit> Cases[] = {
      {}, {{"e-4", 5}}, {{"e-5", 4}}, std::vector<ConfigEdit>(17, {"e-5", 5})};
  for (const std::vector<ConfigEdit> &Edits : Cases) {
    Faults.clear();
    BOOST_TEST(
        !decodeStoredConfig(encodeStoredConfig({Document, Edits}), Faults));
    BOOST_TEST(joinPositions(Faults) == "/edits");
  }
}

// Guards against a difference that omits a change or reports reordered items.
BOOST_AUTO_TEST_CASE(difference_names_each_change) {
  std::vector<ConfigFault> Faults;
  const Config Before = *decodeConfig(readExample("permit-desk"), Faults);
  Config After = Before;
  After.Version_ = 9;
  std::swap(After.Teams_[0], After.Teams_[1]);
  BOOST_TEST(diffConfig(Before, After).empty());
  After.Services_[0].Kinds_[2].Weight_ = 7;
  After.Teams_.push_back({"surveyors", 3});
  After.FailureDomains_.pop_back();
  const auto Changes = diffConfig(Before, After);
  BOOST_REQUIRE(Changes.size() == 3);
  BOOST_TEST(Changes[0].Pointer_ == "/failure_domains/midrand");
  BOOST_TEST(Changes[0].After_.isNull());
  BOOST_TEST(Changes[1].Pointer_ ==
             "/services/permit-desk/kinds/label-lookup/weight");
  BOOST_TEST(Changes[1].After_.asDouble() == 7);
  BOOST_TEST(Changes[2].Pointer_ == "/teams/surveyors");
  BOOST_TEST(Changes[2].Before_.isNull());
}
