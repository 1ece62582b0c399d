import type { Logger } from "roarr";
import type { Clock } from "@clementinemux/common/Clock";
import type { ActivateRequest } from "@clementinemux/ranker/ActivateRequest";
import { MessageName } from "@clementinemux/wire/MessageName";
import type { PeerLinks } from "@clementinemux/wire/PeerLinks";
import type { PeerTable } from "./PeerTable";

interface DelegateOptions {
  readonly peers: PeerTable;
  readonly links: PeerLinks;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** The orders hold, arm and go take about 30 ms together; the group may be paused until the response. */
const activateTimeoutMs = 70;

/** Delegates the orders of an activation to the most recently seen peer. Resolves with whether it has activated the map. */
export async function delegateActivation(
  { peers, links, clock, logger }: DelegateOptions,
  request: ActivateRequest,
): Promise<boolean> {
  const peer = peers.findMostRecent(clock.monotonicMs());
  if (peer === null) {
    return false;
  }
  const answer = await links.call(peer, MessageName.ActivateMap, request, activateTimeoutMs);
  answer.ifLeft(({ message }) => {
    logger.warn({ peer, version: request.version, why: message }, "map not activated by the peer");
  });
  return answer.orDefault(false) === true;
}
