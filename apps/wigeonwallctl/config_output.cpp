#include "wigeonwallctl/config_output.h"

#include "wigeonwall/request/codec.h"

#include <iomanip>

namespace wigeonwall::ctl {

namespace {

constexpr int NameWidth = 24;
constexpr int NumberWidth = 10;

void printKinds(std::ostream &Out, const version::ServiceConfig &Service) {
  Out << "\nservice " << Service.Name_ << "\n"
      << std::left << std::setw(NameWidth) << "  kind" << std::right;
  for (const char *Title : {"urgency", "weight", "min share", "queue", "tasks"})
    Out << std::setw(NumberWidth) << Title;
  Out << "\n";
  for (const version::KindConfig &Kind : Service.Kinds_)
    Out << std::left << std::setw(NameWidth) << "  " + Kind.Name_ << std::right
        << std::setw(NumberWidth) << Kind.Urgency_ << std::setw(NumberWidth)
        << Kind.Weight_ << std::setw(NumberWidth) << Kind.MinShare_
        << std::setw(NumberWidth) << Kind.QueueLimit_ << std::setw(NumberWidth)
        << Kind.MaxTasksPerJob_
        << (Kind.NonIdempotent_ ? "  non-idempotent" : "") << "\n";
}

} // namespace

void printFaults(Console Streams, const std::string &What,
                 const std::vector<version::ConfigFault> &Faults) {
  for (const version::ConfigFault &Fault : Faults)
    Streams.Err_ << What << ": "
                 << (Fault.Position_.empty() ? "" : Fault.Position_ + ": ")
                 << Fault.Message_ << "\n";
  reportError(Streams, What + " is not valid",
              "correct the fields listed above");
}

void printChanges(std::ostream &Stream,
                  const std::vector<version::ConfigChange> &Changes) {
  for (const version::ConfigChange &Change : Changes)
    Stream << Change.Pointer_ << ": " << request::writeJson(Change.Before_)
           << " -> " << request::writeJson(Change.After_) << "\n";
}

void printConfig(Console Streams, const version::Config &Document,
                 bool AsJson) {
  if (AsJson) {
    version::Config Editable = Document;
    Editable.Version_ = 0;
    Editable.EditId_.clear();
    Json::StreamWriterBuilder Builder;
    Builder["indentation"] = "  ";
    Streams.Out_ << Json::writeString(Builder, version::encodeConfig(Editable))
                 << "\n";
    return;
  }
  Streams.Out_ << "version " << Document.Version_ << ", edit "
               << (Document.EditId_.empty() ? "none" : Document.EditId_)
               << "\n";
  for (const version::ServiceConfig &Service : Document.Services_)
    printKinds(Streams.Out_, Service);
  Streams.Out_ << "\n"
               << Document.Teams_.size() << " teams, "
               << Document.FailureDomains_.size() << " failure domains\n";
}

} // namespace wigeonwall::ctl
