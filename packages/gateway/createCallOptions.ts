import type { TargetRecord } from "@clementinemux/registry/TargetRecord";
import { RouteKind } from "@clementinemux/routes/RouteKind";
import { parseAddress } from "@clementinemux/wire/parseAddress";
import type { GatewayContext } from "./GatewayContext";
import type { Guard } from "./Guard";
import type { RoutedRequest } from "./RoutedRequest";
import type { TargetCallOptions } from "./TargetCallOptions";
import { createTargetRequestHeaders } from "./createTargetRequestHeaders";

interface CallInput {
  readonly target: TargetRecord;
  /** Time until the end of the request, in ms. */
  readonly leftMs: number;
  /** Id of the last event that the caller has; null for a whole stream. */
  readonly resumeAfter: string | null;
  /** Whether the target has been tried before, so that it may send a late copy of its rejection on a kept connection. */
  readonly isSameTarget: boolean;
  readonly canRetry: boolean;
  readonly guard: Guard;
}

/** An idempotent request waits for an unresponsive target no longer than this share of its time. */
const responseTimeoutShare = 0.45;
/** The target ends a request at its deadline itself. */
const deadlineMarginMs = 1000;

/** Creates the call that sends a request to a target. */
export function createCallOptions(
  { options, getConnectionPool }: GatewayContext,
  routed: RoutedRequest,
  { target, leftMs, resumeAfter, isSameTarget, canRetry, guard }: CallInput,
): TargetCallOptions {
  const { caller, request, body, team, route } = routed;
  const context = { targetId: target.id, team, leftMs, resumeAfter, urgency: null };
  return {
    ...parseAddress(target.address),
    connectionPool: isSameTarget ? null : getConnectionPool(target.address),
    codec: options.codec,
    requestId: caller.requestId,
    method: request.method ?? "GET",
    path: request.url ?? "/",
    headers: createTargetRequestHeaders(options.codec, routed, context),
    body,
    responseTimeoutMs:
      canRetry && route.kind === RouteKind.Idempotent
        ? leftMs * responseTimeoutShare
        : leftMs + deadlineMarginMs,
    guard,
  };
}
