import { setTimeout as delay } from "node:timers/promises";
import type { Clock } from "@clementinemux/common/Clock";
import type { ChangeMemberRequest } from "@clementinemux/messages/ChangeMemberRequest";
import type { InForceResponse } from "@clementinemux/messages/InForceResponse";
import { ProposeOutcome } from "@clementinemux/messages/ProposeOutcome";
import type { ProposeRequest } from "@clementinemux/messages/ProposeRequest";
import type { ProposeResponse } from "@clementinemux/messages/ProposeResponse";
import { MessageName } from "@clementinemux/wire/MessageName";
import type { ControlClient } from "./ControlClient";
import { ControlErrorCode } from "./ControlErrorCode";
import type { HistoryRecord } from "./HistoryRecord";
import type { ServingRelay } from "./ServingRelay";

interface ApiSources {
  readonly client: ControlClient;
  readonly relay: ServingRelay;
  readonly clock: Clock;
  readonly getStatus: () => unknown;
  readonly getTargets: () => unknown;
}

interface ApiRequest {
  readonly author: string;
  readonly query: URLSearchParams;
  readonly body: unknown;
}

interface ApiResponse {
  readonly status: number;
  readonly body: unknown;
}

const changeDeadlineMs = 5000;
const inForceDeadlineMs = 10_000;
const inForcePollMs = 25;

const statuses: Readonly<Record<ProposeOutcome, number>> = {
  [ProposeOutcome.Accepted]: 200,
  [ProposeOutcome.Conflict]: 409,
  [ProposeOutcome.RequestIdReused]: 409,
  [ProposeOutcome.Invalid]: 400,
};

/**
 * Creates the routes of the API for operators. Every control process serves them and forwards changes to the
 * leader.
 */
export function createApiRoutes(
  sources: ApiSources,
): Record<string, (request: ApiRequest) => Promise<ApiResponse>> {
  const { client, relay, getStatus, getTargets } = sources;
  const respond = (body: unknown): Promise<ApiResponse> => Promise.resolve({ status: 200, body });
  return {
    "GET /v1/config": async () => {
      // Without the refresh, an operator could read a configuration older than an accepted change.
      const confirmed = await relay.refresh();
      return { status: 200, body: { confirmed, config: relay.view.config } };
    },
    "GET /v1/status": () => respond(getStatus()),
    "GET /v1/targets": () => respond(getTargets()),
    "GET /v1/config/history": async ({ query }) => {
      const body = { after: Number(query.get("after") ?? 0) };
      const result = await client.call<HistoryRecord[]>(
        "config",
        MessageName.FetchHistory,
        body,
        changeDeadlineMs,
      );
      return result.caseOf<ApiResponse>({
        Left: ({ code, message }) => ({ status: 503, body: { code, error: message } }),
        Right: (history) => ({ status: 200, body: { history } }),
      });
    },
    "POST /v1/changes": (request) => proposeChange(sources, request),
    "POST /v1/members": async ({ body }) => {
      const request = body as ChangeMemberRequest;
      const result = await client.call(request.group, MessageName.ChangeMember, request, changeDeadlineMs);
      return result.caseOf<ApiResponse>({
        Left: ({ code, message }) => ({
          status: code === ControlErrorCode.Refused || code === ControlErrorCode.Invalid ? 409 : 503,
          body: { code, error: message },
        }),
        Right: (membership) => ({ status: 200, body: { membership } }),
      });
    },
  };
}

async function proposeChange(sources: ApiSources, { author, query, body }: ApiRequest): Promise<ApiResponse> {
  const request = { author, ...(body as object) } as ProposeRequest;
  if (request.author !== author) {
    return { status: 403, body: { error: `the token belongs to "${author}", not to "${request.author}"` } };
  }
  const proposed = await sources.client.propose(request, changeDeadlineMs);
  if (proposed.isLeft()) {
    const { code, message } = proposed.swap().unsafeCoerce();
    // The change may have been committed; sending it again with the same request id returns its outcome.
    return { status: 503, body: { code, error: message, outcome: "unknown" } };
  }
  const response: ProposeResponse = proposed.unsafeCoerce();
  const isAwaited = query.get("wait") === "inForce" && response.outcome === ProposeOutcome.Accepted;
  const waited = isAwaited ? await waitInForce(sources, response.revision) : {};
  return { status: statuses[response.outcome], body: { ...response, ...waited } };
}

async function waitInForce({ client, clock }: ApiSources, revision: number): Promise<InForceResponse> {
  const endMs = clock.monotonicMs() + inForceDeadlineMs;
  let last: InForceResponse = { inForce: false, unconfirmedRegions: [] };
  while (clock.monotonicMs() < endMs) {
    const result = await client.call<InForceResponse>(
      "config",
      MessageName.InForce,
      { revision },
      changeDeadlineMs,
    );
    last = result.orDefault(last);
    if (last.inForce) {
      break;
    }
    await delay(inForcePollMs);
  }
  return last;
}
