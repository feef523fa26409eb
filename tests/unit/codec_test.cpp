/// \file
/// \brief Tests the job codec: each invalid field is rejected with its
/// position, and a job is unchanged by encoding and decoding.
#include "wigeonwall/request/codec.h"

#include "wigeonwall/request/json_text.h"

#include <boost/test/unit_test.hpp>

using namespace wigeonwall::request;

namespace {

Json::Value validJob() {
  CodecFault Error;
  return *parseJson(R"({"service":"permit-desk","job_id":"j-1",
    "kind":"setback-check","team":"installers","created_at_ms":1,
    "timeout_ms":1000,"tasks":[{"payload":{"work_ms":50}},
    {"payload":{},"declared_run_ms":70}]})",
                    Error);
}

struct FaultCase {
  const char *Field_;
  const char *Value_;
  const char *Position_;
};

// Each row replaces one field of a valid job; an empty value removes it.
const FaultCase FaultCases[] = {
    {"service", "", "/service"},
    {"service", "7", "/service"},
    {"service", "\"\"", "/service"},
    {"job_id", "\"a b\"", "/job_id"},
    {"created_at_ms", "0", "/created_at_ms"},
    {"created_at_ms", "1.5", "/created_at_ms"},
    {"timeout_ms", "600001", "/timeout_ms"},
    {"timeout_ms", "1e300", "/timeout_ms"},
    {"non_idempotent", "1", "/non_idempotent"},
    {"tasks", "[]", "/tasks"},
    {"tasks", "{}", "/tasks"},
    {"tasks", "[{\"payload\":1,\"declared_run_ms\":-1}]",
     "/tasks/0/declared_run_ms"},
    {"tasks", "[{\"payload\":1},{\"extra\":1}]", "/tasks/1/extra"},
    {"tasks", "[7]", "/tasks/0"},
    {"extra", "1", "/extra"},
};

} // namespace

BOOST_AUTO_TEST_CASE(every_invalid_field_is_rejected_with_its_position) {
  for (const FaultCase &Case : FaultCases) {
    Json::Value Job = validJob();
    CodecFault Error;
    Job.removeMember(Case.Field_);
    if (*Case.Value_ != '\0')
      Job[Case.Field_] = *parseJson(Case.Value_, Error);
    BOOST_TEST_CONTEXT(Case.Field_ << " = " << Case.Value_) {
      BOOST_TEST(!decodeJobSpec(Job, Error).has_value());
      BOOST_TEST(Error.Position_ == Case.Position_);
    }
  }
}

BOOST_AUTO_TEST_CASE(job_round_trip) {
  CodecFault Error;
  const auto Spec = decodeJobSpec(validJob(), Error);
  BOOST_REQUIRE(Spec.has_value());
  const auto Again = decodeJobSpec(encodeJobSpec(*Spec), Error);
  BOOST_REQUIRE(Again.has_value());
  BOOST_TEST(fingerprint(*Spec) == fingerprint(*Again));
  BOOST_TEST(Again->Tasks_.at(1).DeclaredRun_.count() == 70);
}

BOOST_AUTO_TEST_CASE(fingerprint_differs_when_content_differs) {
  CodecFault Error;
  Json::Value Other = validJob();
  Other["tasks"][0]["payload"]["work_ms"] = 51;
  BOOST_TEST(fingerprint(*decodeJobSpec(validJob(), Error)) !=
             fingerprint(*decodeJobSpec(Other, Error)));
}

BOOST_AUTO_TEST_CASE(load_round_trip) {
  CodecFault Error;
  const AgentLoad Load{3, 40, 8, 1.75, std::chrono::milliseconds(2'000)};
  const auto Again = decodeLoad(encodeLoad(Load), Error);
  BOOST_REQUIRE(Again.has_value());
  BOOST_TEST(Again->Running_ == 3U);
  BOOST_TEST(Again->Queued_ == 40U);
  BOOST_TEST(Again->Slots_ == 8U);
  BOOST_TEST(Again->EjectedSeverity_ == 1.75);
  BOOST_TEST(Again->EjectedFor_.count() == 2'000);
}

BOOST_AUTO_TEST_CASE(deep_nesting_is_rejected_without_a_crash) {
  CodecFault Error;
  BOOST_TEST(!parseJson(std::string(100'000, '['), Error).has_value());
}

// Found by job_fuzz and task_result_fuzz: JsonCpp writes a different character
// in place of an invalid one, which altered a payload and made member names of
// an object collide.
BOOST_AUTO_TEST_CASE(invalid_unicode_is_rejected) {
  const struct {
    const char *Text_;
    bool Valid_;
  } Cases[] = {
      {"\"\xC3\xA9 \xE2\x82\xAC \xF0\x9F\x8C\xB2\"", true},
      {R"("\u00e9 \ud83c\udf32 \\ud800")", true},
      {"\"\xB7\"", false},
      {"\"\xC3\"", false},
      {"\"\xC0\xAF\"", false},
      {"\"\xE0\x80\x80\"", false},
      {"\"\xED\xA0\x80\"", false},
      {"\"\xF4\x90\x80\x80\"", false},
      {"\"\xFF\"", false},
      {"{\"a\xFF\": 1, \"a\xFE\": 2}", false},
      {R"("\ud800")", false},
      {R"("\udc00")", false},
      {R"("\ud800\u0041")", false},
      {R"("\ud800\ud800")", false},
  };
  for (const auto &Case : Cases)
    BOOST_TEST_CONTEXT(Case.Text_) {
      CodecFault Error;
      const auto Value = parseJson(Case.Text_, Error);
      BOOST_TEST(Value.has_value() == Case.Valid_);
      BOOST_TEST(Error.Message_.empty() == Case.Valid_);
      if (Value)
        BOOST_TEST((parseJson(writeJson(*Value), Error) == Value));
    }
}

struct ValuesCase {
  const char *Text_;
  std::size_t Values_;
};

const ValuesCase ValuesCases[] = {
    {"0", 1},
    {"[]", 2},
    {"[0,1]", 3},
    {R"({"a":0,"b":[1]})", 6},
    {R"(["a,b:[{","\",["])", 3},
    {R"("\\")", 1},
};

// An array of 1 MiB took 70 MB when it was parsed.
BOOST_AUTO_TEST_CASE(counts_the_values_of_a_text) {
  for (const ValuesCase &Each : ValuesCases)
    BOOST_TEST_CONTEXT(Each.Text_) {
      BOOST_TEST(!hasMoreValues(Each.Text_, Each.Values_));
      BOOST_TEST(hasMoreValues(Each.Text_, Each.Values_ - 1));
    }
  CodecFault Fault;
  BOOST_TEST(parseLimitedJson("[0,1]", 3, Fault).has_value());
  BOOST_TEST(!parseLimitedJson("[0,1]", 2, Fault).has_value());
  BOOST_TEST(Fault.Message_ == "invalid JSON: more than 2 values");
}

// The message repeated a number of any length, in the log and in the response.
BOOST_AUTO_TEST_CASE(messages_of_syntax_errors_are_short) {
  CodecFault Fault;
  BOOST_TEST(!parseJson("1e" + std::string(100'000, '9'), Fault).has_value());
  BOOST_TEST(Fault.Message_.size() < 300u);
}
