/*
 * The registry of targets: identity, address and state of each announced
 * target.  It is part of the replicated state; entries keep a copy under the
 * same rules.
 */
#ifndef REGISTRY_REGISTRY_H
#define REGISTRY_REGISTRY_H

#include "base/status.h"
#include "base/str.h"

enum registry_state {
	REGISTRY_READY,
	REGISTRY_COLD,
	REGISTRY_DRAINING
};

struct registry_target {
	struct str id;
	struct str service;
	struct str address; /* IP:PORT */
	struct str failure_domain;
	struct str holder; /* entry that holds the lease */
	uint32_t slots;
	uint32_t connections;
	enum registry_state state;
	uint64_t incarnation; /* chosen by the target at its start */
	uint64_t sequence; /* of its changes within the incarnation */
};

struct registry;
typedef void registry_visitor(void *ctx, const struct registry_target *target);

struct registry *registry_new(void);
void registry_free(struct registry *registry);
/*
 * Adds or updates a target.  An older incarnation, or an older sequence of the
 * same one, is STATUS_CONFLICT; an unchanged target is STATUS_BUSY.  Draining
 * is final for an incarnation: whatever state it announces later, even after
 * its removal, registry_find() returns it as draining.
 */
enum status registry_upsert(struct registry *registry,
    const struct registry_target *target) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/*
 * Removes a target if it has that incarnation (0: any) and holder (empty:
 * any); STATUS_NOT_FOUND otherwise.
 */
enum status registry_remove(struct registry *registry, struct str id,
    struct str holder, uint64_t incarnation) ATTR_NONNULL(1) ATTR_UNUSED_RESULT;
const struct registry_target *
registry_find(const struct registry *registry, struct str id) ATTR_NONNULL(1);
/*
 * Visits the targets in order of id; the visitor must not change the registry.
 */
void registry_for_each(const struct registry *registry, registry_visitor *visit,
    void *ctx) ATTR_NONNULL(1, 2);
uint32_t registry_count(const struct registry *registry) ATTR_NONNULL_ALL;
void registry_clear(struct registry *registry) ATTR_NONNULL_ALL;
/* Removes all targets, but keeps which incarnations have been draining. */
void registry_remove_all(struct registry *registry) ATTR_NONNULL_ALL;
/*
 * Makes an incarnation of a target draining, whether it is registered now or
 * later.  STATUS_BUSY if it is already, STATUS_CONFLICT if a newer incarnation
 * is known.
 */
enum status registry_drain(struct registry *registry, struct str id,
    uint64_t incarnation) ATTR_NONNULL(1) ATTR_UNUSED_RESULT;
/* Returns a copy in one block with its strings, freed with mem_free(). */
struct registry_target *registry_copy_target(
    const struct registry_target *target) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/*
 * Checks the announced values: id, service, address and limits.  The message
 * of STATUS_INVALID names the field.
 */
enum status registry_check(
    const struct registry_target *target) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
void registry_save(
    const struct registry *registry, struct str_buf *out) ATTR_NONNULL_ALL;
enum status registry_load(struct registry *registry,
    struct str data) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;

#endif
