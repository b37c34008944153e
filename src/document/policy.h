/*
 * Parsing of sections into typed values, and lookups in the policy that the
 * sections form together.
 */
#ifndef DOCUMENT_POLICY_H
#define DOCUMENT_POLICY_H

#include "base/status.h"
#include "document/policy_defs.h"

/*
 * Parses and validates one section.  On STATUS_INVALID, status_message() names
 * the section, line and field, what was found and what is allowed.
 */
enum status policy_section_parse(struct str text, uint64_t revision,
    struct policy_section **section) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
struct policy_section *
policy_section_get(struct policy_section *section) ATTR_NONNULL_ALL;
void policy_section_put(struct policy_section *section);

/* Builds a policy from sections and takes a reference to each. */
struct policy *
policy_new(struct policy_section *const *sections, uint32_t count);
struct policy *policy_get(struct policy *policy) ATTR_NONNULL_ALL;
void policy_put(struct policy *policy);

const struct policy_section *policy_find_section(
    const struct policy *policy, struct str name) ATTR_NONNULL_ALL;
/*
 * Finds a service by host (without port), method and path; NULL when there is
 * none.
 */
const struct policy_section *policy_find_service(const struct policy *policy,
    struct str host, struct str method, struct str path) ATTR_NONNULL_ALL;
const struct policy_section *policy_find_service_by_name(
    const struct policy *policy, struct str name) ATTR_NONNULL_ALL;
const struct policy_route *
policy_find_route(const struct policy_service *service, struct str method,
    struct str path) ATTR_NONNULL_ALL;
/*
 * Finds a tenant by bearer token and sets *section to the section that defines
 * it; NULL when no tenant has the token.
 */
const struct policy_tenant *policy_find_tenant(const struct policy *policy,
    struct str token, const struct policy_section **section) ATTR_NONNULL_ALL;
bool policy_route_admits(
    const struct policy_route *route, struct str tenant) ATTR_NONNULL_ALL;
const struct policy_limit *policy_find_limit(
    const struct policy_service *service, struct str tenant) ATTR_NONNULL_ALL;
/* Returns the service's own text for a reason, or the default text. */
struct str policy_refusal_text(
    const struct policy_service *service, enum refusal_reason reason);
/* Matches a name against a name or a pattern with one '*'. */
bool policy_pattern_matches(struct str pattern, struct str name);
void policy_digest(struct str text, uint8_t digest[POLICY_DIGEST_BYTES])
    ATTR_NONNULL(2);

#endif
