import { createServer } from "node:http";
import type { Server, ServerResponse } from "node:http";
import { headerNames } from "@clementinemux/common/headerNames";
import { RelayService } from "@clementinemux/membership/RelayService";
import type { RenewRequest } from "@clementinemux/messages/RenewRequest";
import type { RenewResponse } from "@clementinemux/messages/RenewResponse";
import { createDefaultConfig } from "@clementinemux/fleet/createDefaultConfig";
import { MessageName } from "@clementinemux/wire/MessageName";
import { RpcServer } from "@clementinemux/wire/RpcServer";
import { createAnnouncement } from "./createAnnouncement";

interface OpenStream {
  readonly response: ServerResponse;
  readonly attemptId: string;
  tokenCount: number;
}

const host = "127.0.0.1";
const base = createDefaultConfig();
// Team limits are too high to restrict the load.
const defaults = { ...base.defaults, teamRequestsPerS: 1e6, teamTokensPerS: 1e9 };
const load = {
  runningCount: 3,
  queuedCount: 0,
  runningTokenCount: 1200,
  batchLimitCount: 4096,
  stepMs: 19.5,
  kvFreeShare: 0.8,
  groupSkew: 1.02,
  ageMs: 120,
};

/**
 * Stand-in for a relay and the agents of any number of targets, in this process. All agents share one
 * address.
 */
export class FleetStub {
  readonly relay = new RelayService({ name: "relay-1", probe: () => Promise.resolve(true) });
  readonly streams = new Set<OpenStream>();
  relayPort = 0;
  agentPort = 0;
  /** Whether each response ends after its first token. */
  endsAfterFirstToken = false;
  readonly #rpc: RpcServer;
  readonly #agents: Server;

  /** `subsetGroups` is the number of groups per model in the subset of an entry. */
  constructor(subsetGroups = 1000) {
    const config = { ...base, revision: 1, defaults: { ...defaults, subsetGroups } };
    const renew = ({ appliedRevision }: RenewRequest): RenewResponse => ({
      ...{ epoch: 1, revision: 1, confirmed: true, leaseMs: 4000, changes: [] },
      config: appliedRevision < 1 ? config : null,
    });
    const handlers = {
      ...this.relay.handlers,
      [MessageName.Renew]: (body: unknown) => renew(body as RenewRequest),
    };
    this.#rpc = new RpcServer({ handlers });
    this.#agents = createServer((request, response) => {
      if (request.method === "GET") {
        const state = {
          target: "runner",
          stamp: "01764800000000-1a2b3c4d/123456",
          accepting: true,
          reason: null,
        };
        response.end(
          JSON.stringify({ ...state, inFlight: 3, load, revision: 0, group: { name: "group-1", rank: 1 } }),
        );
        return;
      }
      request.resume();
      const attemptId = String(request.headers[headerNames.attemptId]);
      response.writeHead(200, { "content-type": "text/event-stream", [headerNames.attemptId]: attemptId });
      const stream = { response, attemptId, tokenCount: 0 };
      this.streams.add(stream);
      response.once("close", () => this.streams.delete(stream));
      this.#sendToken(stream);
      if (this.endsAfterFirstToken) {
        const last = {
          id: attemptId,
          choices: [{ index: 0, text: "", finish_reason: "length" }],
          usage: { completion_tokens: 1 },
        };
        response.end(`data: ${JSON.stringify(last)}\n\ndata: [DONE]\n\n`);
      }
    });
  }

  async start(): Promise<void> {
    this.relayPort = await this.#rpc.listen(host, 0);
    await new Promise<void>((resolve) => this.#agents.listen(0, host, resolve));
    const bound = this.#agents.address();
    this.agentPort = typeof bound === "object" && bound !== null ? bound.port : 0;
  }

  /** Announces targets and entries at the relay. `models` overrides the models of the targets. */
  announce(targetCount: number, entryCount: number, models?: readonly string[]): void {
    for (let index = 0; index < targetCount; index += 1) {
      const announced = createAnnouncement(index, `${host}:${this.agentPort}`);
      const announcement = { ...announced, models: models ?? announced.models };
      void this.relay.handlers[MessageName.Announce]?.(announcement, "bench");
    }
    for (let index = 0; index < entryCount; index += 1) {
      const attributes = { failureDomain: `fd-${index % 15}`, region: `region-${index % 5}`, leaving: false };
      const url = `https://10.1.${index >> 8}.${index & 255}:8443`;
      const entry = {
        entry: `entry-${1000 + index}`,
        incarnation: "01764800000000-1a2b3c4d",
        url,
        ...attributes,
      };
      void this.relay.handlers[MessageName.AnnounceEntry]?.(entry, "bench");
    }
  }

  /** Sends one token on every open stream, as an engine step does. */
  sendTokens(): void {
    for (const stream of this.streams) {
      this.#sendToken(stream);
    }
  }

  async stop(): Promise<void> {
    this.#agents.closeAllConnections();
    this.#agents.close();
    await this.#rpc.close();
  }

  #sendToken(stream: OpenStream): void {
    const { response, attemptId, tokenCount } = stream;
    stream.tokenCount += 1;
    const event = {
      id: attemptId,
      token_index: tokenCount,
      choices: [{ index: 0, text: "token ", finish_reason: null }],
    };
    response.write(`data: ${JSON.stringify(event)}\n\n`);
  }
}
