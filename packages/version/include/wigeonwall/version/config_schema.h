/// \file
/// \brief JSON Schema (draft 7) of the configuration document.
#ifndef WIGEONWALL_VERSION_CONFIG_SCHEMA_H
#define WIGEONWALL_VERSION_CONFIG_SCHEMA_H

namespace wigeonwall::version {

/// Unknown fields match `{"not": {}}` instead of `false`, so that the validator
/// reports each unknown field at its own position.
inline constexpr char ConfigSchema[] = R"json({
  "$schema": "http://json-schema.org/draft-07/schema#",
  "title": "wigeonwall configuration",
  "type": "object",
  "additionalProperties": {"not": {}},
  "required": ["format", "services", "teams", "failure_domains", "limits"],
  "properties": {
    "format": {"type": "integer", "minimum": 1, "maximum": 1},
    "version": {"type": "integer", "minimum": 1, "maximum": 9007199254740991},
    "edit_id": {"type": "string", "pattern": "^[A-Za-z0-9._:-]{1,64}$"},
    "services": {
      "type": "array", "minItems": 1, "maxItems": 64,
      "items": {
        "type": "object",
        "additionalProperties": {"not": {}},
        "required": ["name", "kinds"],
        "properties": {
          "name": {"type": "string", "pattern": "^[A-Za-z0-9._:-]{1,64}$"},
          "kinds": {
            "type": "array", "minItems": 1, "maxItems": 64,
            "items": {
              "type": "object",
              "additionalProperties": {"not": {}},
              "required": ["name", "urgency", "weight", "queue_limit",
                           "max_tasks_per_job", "max_timeout_ms"],
              "properties": {
                "name": {"type": "string",
                         "pattern": "^[A-Za-z0-9._:-]{1,64}$"},
                "urgency": {"type": "integer", "minimum": 0, "maximum": 9},
                "weight": {"type": "number", "minimum": 0.001,
                           "maximum": 1000},
                "min_share": {"type": "number", "minimum": 0, "maximum": 1},
                "queue_limit": {"type": "integer", "minimum": 0,
                                "maximum": 1000000},
                "max_tasks_per_job": {"type": "integer", "minimum": 1,
                                      "maximum": 170},
                "max_timeout_ms": {"type": "integer", "minimum": 1,
                                   "maximum": 600000},
                "non_idempotent": {"type": "boolean"}
              }
            }
          }
        }
      }
    },
    "teams": {
      "type": "array", "minItems": 1, "maxItems": 1000,
      "items": {
        "type": "object",
        "additionalProperties": {"not": {}},
        "required": ["name", "max_tasks_in_flight"],
        "properties": {
          "name": {"type": "string", "pattern": "^[A-Za-z0-9._:-]{1,64}$"},
          "max_tasks_in_flight": {"type": "integer", "minimum": 0,
                                  "maximum": 1000000}
        }
      }
    },
    "failure_domains": {
      "type": "array", "minItems": 1, "maxItems": 64,
      "items": {
        "type": "object",
        "additionalProperties": {"not": {}},
        "required": ["name", "region"],
        "properties": {
          "name": {"type": "string", "pattern": "^[A-Za-z0-9._:-]{1,64}$"},
          "region": {"type": "string", "pattern": "^[A-Za-z0-9._:-]{1,64}$"}
        }
      }
    },
    "limits": {
      "type": "object",
      "additionalProperties": {"not": {}},
      "required": ["record_retention_s", "max_records"],
      "properties": {
        "record_retention_s": {"type": "integer", "minimum": 120,
                               "maximum": 86400},
        "max_records": {"type": "integer", "minimum": 1, "maximum": 1000000}
      }
    }
  }
})json";

} // namespace wigeonwall::version

#endif
