import { createServer } from "node:http";
import type { IncomingHttpHeaders, IncomingMessage, Server, ServerResponse } from "node:http";
import { request as requestHttp } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import { Agent } from "@clementinemux/agent/Agent";
import { AgentSettings } from "@clementinemux/agent/AgentSettings";
import type { AgentState } from "@clementinemux/agent/AgentState";
import { SystemClock } from "@clementinemux/common/SystemClock";
import { headerNames } from "@clementinemux/common/headerNames";
import { RelayService } from "@clementinemux/membership/RelayService";
import { RpcServer } from "@clementinemux/wire/RpcServer";
import { createRenewal } from "./createRenewal";

interface AgentResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly text: string;
}

interface AgentFleet {
  readonly agent: Agent;
  readonly port: number;
  readonly relay: RelayService;
  /** Configuration revision that control confirms. */
  readonly control: { revision: number };
  readonly target: Server;
  fetchState(): Promise<AgentState>;
  waitUntilAccepting(): Promise<AgentState>;
  /** Sends a request; fields in `headers` override the default ones. */
  send(path: string, headers?: Record<string, string>, body?: string): Promise<AgentResponse>;
  close(): Promise<void>;
}

const host = "127.0.0.1";
let attemptCount = 0;

function listen(server: Server): Promise<number> {
  return new Promise((resolve) => {
    server.listen(0, host, () => {
      const bound = server.address();
      resolve(typeof bound === "object" && bound !== null ? bound.port : 0);
    });
  });
}

function send(
  port: number,
  path: string,
  headers: Record<string, string>,
  body: string,
): Promise<AgentResponse> {
  return new Promise((resolve, reject) => {
    const outgoing = requestHttp({ host, port, path, method: "POST", headers, agent: false }, (response) => {
      let text = "";
      response.on("data", (chunk: Buffer) => (text += chunk.toString()));
      response.on("error", reject);
      response.on("end", () => {
        resolve({ status: response.statusCode ?? 0, headers: response.headers, text });
      });
    });
    outgoing.on("error", reject);
    outgoing.end(body);
  });
}

/**
 * Starts an agent on loopback with the test's target, a relay, and a stand-in for control that confirms
 * renewals.
 */
export async function createAgentFleet(
  handleTarget: (request: IncomingMessage, response: ServerResponse) => void,
  settings: Readonly<Record<string, unknown>> = {},
): Promise<AgentFleet> {
  const target = createServer(handleTarget);
  const targetPort = await listen(target);
  const relay = new RelayService();
  const control = { revision: 0 };
  const server = new RpcServer({
    handlers: {
      ...relay.handlers,
      renew: (body) => createRenewal((body as { appliedRevision: number }).appliedRevision, control.revision),
    },
  });
  const relayPort = await server.listen(host, 0);
  const parsedSettings = AgentSettings.parse({
    target: "runner-1",
    port: 1,
    failureDomain: "fd-1",
    region: "local",
    kind: "engine",
    targetAddress: `${host}:${targetPort}`,
    relays: [`${host}:${relayPort}`],
    heartbeatIntervalMs: 50,
    loadIntervalMs: 50,
    ...settings,
  });
  const agent = new Agent({ ...parsedSettings, port: 0 }, new SystemClock());
  const port = await agent.start();
  const fetchState = async (): Promise<AgentState> =>
    (await (await fetch(`http://${host}:${port}/agent/state`)).json()) as AgentState;
  const waitUntilAccepting = async (): Promise<AgentState> => {
    for (;;) {
      const state = await fetchState();
      if (state.accepting) {
        return state;
      }
      await delay(10);
    }
  };
  return {
    agent,
    port,
    relay,
    control,
    target,
    fetchState,
    waitUntilAccepting,
    send: async (path, headers = {}, body = "{}") => {
      attemptCount += 1;
      const { stamp } = await fetchState();
      const defaultHeaders = {
        [headerNames.stamp]: stamp,
        [headerNames.attemptId]: `attempt-${attemptCount}`,
      };
      return send(port, path, { ...defaultHeaders, ...headers }, body);
    },
    close: async () => {
      await agent.stop();
      await server.close();
      target.closeAllConnections();
      target.close();
    },
  };
}
