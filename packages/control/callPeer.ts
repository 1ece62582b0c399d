import type { MessageName } from "@clementinemux/wire/MessageName";
import type { PeerLinks } from "@clementinemux/wire/PeerLinks";

/** Sends a request to another process. Rejects with its error, or without its response in time. */
export async function callPeer(
  links: PeerLinks,
  address: string,
  name: MessageName,
  body: unknown,
  timeoutMs: number,
): Promise<unknown> {
  const answer = await links.call(address, name, body, timeoutMs);
  return answer.caseOf({
    Left: (error) => {
      throw error;
    },
    Right: (response) => response,
  });
}
