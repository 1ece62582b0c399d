import * as z from "zod";
import { RequestClass } from "@clementinemux/common/RequestClass";
import { ConfigChangeKind } from "@clementinemux/fleet/ConfigChangeKind";

const name = z.string().min(1).max(128);
// Setting "__proto__" on a plain object changes its prototype instead of adding a key.
const key = name.refine((text) => text !== "__proto__", "is a reserved name");
const reason = z.string().trim().min(1, "a reason is required").max(1000);
const durationMs = z
  .number()
  .int()
  .min(1)
  .max(366 * 24 * 3_600_000);
const timeMs = z.number().int().min(0);
const rate = z.number().min(0).max(1e12);
const weight = z.number().min(0).max(1e6);
const share = z.number().min(0).max(1);
const hour = z.number().min(0).max(24);

const classDefaults = z.strictObject({
  deadlineMs: durationMs,
  firstTokenMs: durationMs,
  enginePriority: z.number().int().min(-1000).max(1000),
  weight,
  mayHedge: z.boolean(),
  preemptible: z.boolean(),
});

const defaults = z.strictObject({
  classes: z.strictObject({
    [RequestClass.Important]: classDefaults,
    [RequestClass.Standard]: classDefaults,
    [RequestClass.Bulk]: classDefaults,
  }),
  teamClass: z.enum(RequestClass),
  teamRequestsPerS: rate,
  teamTokensPerS: rate,
  teamWeight: weight,
  // With longer leases a revision could take more than the limit of 5 s to be in effect everywhere.
  servingLeaseMs: z.number().int().min(1000).max(4500),
  permitMaxAgeMs: z.number().int().min(100).max(4500),
  orderMaxAgeMs: z.number().int().min(100).max(60_000),
  addressTtlMs: durationMs,
  subsetGroups: z.number().int().min(1).max(1000),
  retryBudgetShare: share,
  maxAttempts: z.number().int().min(1).max(20),
  maxEjectedShare: share,
  connectTimeoutMs: durationMs,
  firstTokenTimeoutMs: durationMs,
  tokenGapTimeoutMs: durationMs,
  claimRetentionMs: durationMs,
  tombstoneRetentionMs: durationMs,
  services: z.record(
    key,
    z.strictObject({
      repeatable: z.boolean(),
      timeoutMs: durationMs,
      keyRequired: z.boolean().default(false),
    }),
  ),
  groups: z.strictObject({
    skewWeight: weight,
    costWeight: weight,
    horizonMs: durationMs,
    weightStoreBytesPerS: rate,
    busyHours: z.array(z.tuple([hour, hour])).max(24),
    busyTimeZone: z.string().min(1).max(64),
  }),
});

const exception = z.strictObject({
  id: name,
  reason,
  author: name,
  createdAtMs: timeMs,
  expiresAtMs: timeMs.nullable(),
  selector: z.strictObject({
    team: name.optional(),
    model: name.optional(),
    service: name.optional(),
    group: name.optional(),
    region: name.optional(),
  }),
  override: z
    .strictObject({
      requestClass: z.enum(RequestClass).optional(),
      deadlineMs: durationMs.optional(),
      requestsPerS: rate.optional(),
      tokensPerS: rate.optional(),
      weight: weight.optional(),
      skewWeight: weight.optional(),
      costWeight: weight.optional(),
      serveWithoutControl: z.boolean().optional(),
    })
    .refine((override) => Object.keys(override).length > 0, "an exception must change something"),
});

const change = z.discriminatedUnion("kind", [
  z.strictObject({ kind: z.literal(ConfigChangeKind.SetDefaults), defaults }),
  z.strictObject({ kind: z.literal(ConfigChangeKind.AddException), exception }),
  z.strictObject({ kind: z.literal(ConfigChangeKind.RemoveException), exceptionId: name, reason }),
  z.strictObject({
    kind: z.literal(ConfigChangeKind.DrainTarget),
    target: key,
    drain: z.strictObject({ reason, author: name, sinceMs: timeMs }),
  }),
  z.strictObject({ kind: z.literal(ConfigChangeKind.UndrainTarget), target: key }),
]);

/** Validates a proposed change before it is appended to the log. */
export const ProposeSchema = z.strictObject({
  author: name,
  requestId: name,
  baseRevision: z.number().int().min(0),
  change,
});
