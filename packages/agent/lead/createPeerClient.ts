import { Agent as HttpAgent, request as requestHttp } from "node:http";
import type { TlsFiles } from "@clementinemux/wire/TlsFiles";
import { parseAddress } from "@clementinemux/wire/parseAddress";
import { TargetClient } from "../TargetClient";

// The lead has one exchange with a rank at a time; more connections would only hold memory.
const agentOptions = { keepAlive: true, maxSockets: 1 };

/** Creates the client of another agent's HTTP listener. Without TLS, its module is not loaded, for memory. */
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
