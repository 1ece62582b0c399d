import { Agent as HttpAgent, request as requestHttp } from "node:http";
import type { TlsFiles } from "@clementinemux/wire/TlsFiles";
import { parseAddress } from "@clementinemux/wire/parseAddress";
import { TargetClient } from "../TargetClient";

// The leader has one exchange per rank in progress at a time; more connections would only use memory.
const agentOptions = { keepAlive: true, maxSockets: 1 };

/**
 * Creates a client of another agent's HTTP server. The HTTPS module is loaded only with TLS, to save memory.
 */
export async function createPeerClient(address: string, tls: TlsFiles | undefined): Promise<TargetClient> {
  if (tls === undefined) {
    return new TargetClient(parseAddress(address), {
      request: requestHttp,
      agent: new HttpAgent(agentOptions),
    });
  }
  const { Agent: HttpsAgent, request } = await import("node:https");
  return new TargetClient(parseAddress(address), {
    request,
    agent: new HttpsAgent({ ...agentOptions, ...tls }),
  });
}
