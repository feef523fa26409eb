#include "wigeonwall/request/field_reader.h"

#include <algorithm>
#include <cctype>

namespace wigeonwall::request {

namespace {

bool isIdentifierCharacter(unsigned char Character) {
  return std::isalnum(Character) != 0 || Character == '-' || Character == '_' ||
         Character == '.' || Character == ':';
}

} // namespace

FieldReader::FieldReader(const Json::Value &Object, std::string Position,
                         CodecFault &Error)
    : Object_(Object), Position_(std::move(Position)), Error_(Error) {
  if (!Object_.isObject())
    fail("", "expected an object");
}

void FieldReader::identifier(const char *Name, std::size_t MaxLength,
                             std::string &Out) {
  if (!readString(Name, true, Out))
    return;
  if (Out.empty() || Out.size() > MaxLength ||
      !std::all_of(Out.begin(), Out.end(), isIdentifierCharacter))
    fail(Name, "expected 1 to " + std::to_string(MaxLength) +
                   " letters, digits or characters of \"-_.:\"");
}

void FieldReader::string(const char *Name, std::string &Out) {
  readString(Name, true, Out);
}

void FieldReader::optionalString(const char *Name, std::string &Out) {
  readString(Name, false, Out);
}

void FieldReader::integer(const char *Name, std::int64_t Min, std::int64_t Max,
                          std::int64_t &Out) {
  readInteger(Name, true, Min, Max, Out);
}

void FieldReader::optionalInteger(const char *Name, std::int64_t Min,
                                  std::int64_t Max, std::int64_t &Out) {
  readInteger(Name, false, Min, Max, Out);
}

void FieldReader::optionalBoolean(const char *Name, bool &Out) {
  const Json::Value *Field = find(Name, false);
  if (Field == nullptr)
    return;
  if (!Field->isBool())
    return fail(Name, "expected true or false");
  Out = Field->asBool();
}

void FieldReader::optionalArray(const char *Name, Json::Value &Out) {
  const Json::Value *Field = find(Name, false);
  if (Field == nullptr)
    return;
  if (!Field->isArray())
    return fail(Name, "expected an array");
  Out = *Field;
}

void FieldReader::any(const char *Name, Json::Value &Out) {
  if (const Json::Value *Field = find(Name, false))
    Out = *Field;
}

void FieldReader::allow(const char *Name) { Known_.insert(Name); }

bool FieldReader::finish() {
  if (Failed_)
    return false;
  for (const std::string &Name : Object_.getMemberNames()) {
    if (Known_.count(Name) != 0)
      continue;
    fail(Name, "unknown field");
    break;
  }
  return !Failed_;
}

const Json::Value *FieldReader::find(const char *Name, bool Required) {
  Known_.insert(Name);
  if (Failed_)
    return nullptr;
  if (Object_.isMember(Name))
    return &Object_[Name];
  if (Required)
    fail(Name, "field is missing");
  return nullptr;
}

bool FieldReader::readString(const char *Name, bool Required,
                             std::string &Out) {
  const Json::Value *Field = find(Name, Required);
  if (Field == nullptr)
    return false;
  if (!Field->isString()) {
    fail(Name, "expected a string");
    return false;
  }
  Out = Field->asString();
  return true;
}

void FieldReader::readInteger(const char *Name, bool Required, std::int64_t Min,
                              std::int64_t Max, std::int64_t &Out) {
  const Json::Value *Field = find(Name, Required);
  if (Field == nullptr)
    return;
  if (!Field->isInt64() || Field->asInt64() < Min || Field->asInt64() > Max)
    return fail(Name, "expected an integer from " + std::to_string(Min) +
                          " to " + std::to_string(Max));
  Out = Field->asInt64();
}

void FieldReader::fail(const std::string &Name, std::string Message) {
  if (Failed_)
    return;
  Failed_ = true;
  Error_ = {CodecError::Field, std::move(Message),
            Name.empty() ? Position_ : Position_ + "/" + Name};
}

} // namespace wigeonwall::request
