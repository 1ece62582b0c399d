import type { MessageName } from "@clementinemux/wire/MessageName";
import type { PeerLinks } from "@clementinemux/wire/PeerLinks";
import type { ReplicatedGroup } from "./ReplicatedGroup";
import { callPeer } from "./callPeer";

// Operators and targets call another coordinator after a second without a response.
const forwardTimeoutMs = 900;

/** Forwards a request to the leader of a group. Rejects when none is known, or without its response in time. */
export async function callLeader(
  group: Pick<ReplicatedGroup, "getLeaderAddress" | "createNotLeaderError">,
  links: PeerLinks,
  name: MessageName,
  body: unknown,
  timeoutMs = forwardTimeoutMs,
): Promise<unknown> {
  const leader = group.getLeaderAddress();
  if (leader === null) {
    throw group.createNotLeaderError();
  }
  return callPeer(links, leader, name, body, timeoutMs);
}
