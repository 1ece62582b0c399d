import { Agent as HttpAgent, request as requestHttp } from "node:http";
import { Agent as HttpsAgent, request as requestHttps } from "node:https";
import type { TlsFiles } from "@clementinemux/wire/TlsFiles";
import { parseAddress } from "@clementinemux/wire/parseAddress";
import { TargetClient } from "../TargetClient";

/** Creates the client of another agent's HTTP listener. */
export function createPeerClient(address: string, tls: TlsFiles | undefined): TargetClient {
  const options = { keepAlive: true, maxSockets: 2 };
  return new TargetClient(
    parseAddress(address),
    tls === undefined
      ? { request: requestHttp, agent: new HttpAgent(options) }
      : { request: requestHttps, agent: new HttpsAgent({ ...options, ...tls }) },
  );
}
