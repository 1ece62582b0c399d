import { createServer, request as requestHttp } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { periodic } from "most";
import type * as z from "zod";
import type { Clock } from "@clementinemux/common/Clock";
import { Outcome } from "@clementinemux/common/Outcome";
import type { TargetAnnouncement } from "@clementinemux/common/TargetAnnouncement";
import { headerNames } from "@clementinemux/common/headerNames";
import { createDefaultConfig } from "@clementinemux/fleet/createDefaultConfig";
import { MessageName } from "@clementinemux/wire/MessageName";
import { RpcClient } from "@clementinemux/wire/RpcClient";
import { parseAddress } from "@clementinemux/wire/parseAddress";
import type { AgentSettings } from "./AgentSettings";
import type { AgentState } from "./AgentState";
import { checkStamp } from "./checkStamp";
import { createIncarnation } from "./createIncarnation";
import { formatStamp } from "./formatStamp";
import { parseStamp } from "./parseStamp";

const announceTimeoutMs = 1000;

/** Stands beside one target: announces it and is the only way to it. */
export class Agent {
  readonly #settings: z.output<typeof AgentSettings>;
  readonly #clock: Clock;
  readonly #incarnation: string;
  readonly #relays: readonly RpcClient[];
  readonly #server: Server;
  #inFlight = 0;

  constructor(settings: z.output<typeof AgentSettings>, clock: Clock) {
    this.#settings = settings;
    this.#clock = clock;
    this.#incarnation = createIncarnation(clock.wallMs());
    this.#relays = settings.relays.map((relay) => new RpcClient({ address: parseAddress(relay) }));
    this.#server = createServer((request, response) => {
      this.#handle(request, response);
    });
  }

  async start(): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(this.#settings.port, this.#settings.host, resolve);
    });
    void periodic(this.#settings.heartbeatIntervalMs).observe(() => {
      this.#announce();
    });
  }

  #announce(): void {
    const {
      target,
      host,
      port,
      failureDomain,
      region,
      kind,
      models,
      role,
      service,
      group,
      rank,
      checksFencing,
    } = this.#settings;
    const announcement: TargetAnnouncement = {
      target,
      incarnation: this.#incarnation,
      address: `${host}:${port}`,
      failureDomain,
      region,
      kind,
      models,
      adapters: [],
      version: "",
      role,
      service,
      group,
      rank,
      checksFencing,
    };
    for (const relay of this.#relays) {
      void relay.call(MessageName.Announce, announcement, announceTimeoutMs);
    }
  }

  #handle(request: IncomingMessage, response: ServerResponse): void {
    if (request.url === "/agent/state") {
      const state: AgentState = {
        target: this.#settings.target,
        stamp: this.#createStamp(),
        accepting: true,
        inFlight: this.#inFlight,
      };
      response.writeHead(200, { "content-type": "application/json" }).end(JSON.stringify(state));
      return;
    }
    const { permitMaxAgeMs } = createDefaultConfig().defaults;
    const stamp = parseStamp(String(request.headers[headerNames.stamp] ?? "")).extractNullable();
    const refusal = checkStamp(stamp, this.#incarnation, this.#clock.monotonicMs(), permitMaxAgeMs);
    if (refusal !== null) {
      response.writeHead(503, {
        "content-type": "application/json",
        [headerNames.refusedBy]: "agent",
        [headerNames.stamp]: this.#createStamp(),
      });
      response.end(JSON.stringify({ outcome: Outcome.NotRun, reason: refusal }));
      return;
    }
    this.#forward(request, response);
  }

  #forward(request: IncomingMessage, response: ServerResponse): void {
    this.#inFlight += 1;
    response.once("close", () => {
      this.#inFlight -= 1;
    });
    const upstream = requestHttp(
      {
        ...parseAddress(this.#settings.targetAddress),
        method: request.method,
        path: request.url,
        headers: request.headers,
      },
      (answer) => {
        response.writeHead(answer.statusCode ?? 502, answer.headers);
        answer.pipe(response);
        answer.once("error", () => response.destroy());
      },
    );
    upstream.once("error", () => response.destroy());
    response.once("close", () => upstream.destroy());
    request.pipe(upstream);
  }

  #createStamp(): string {
    return formatStamp({ incarnation: this.#incarnation, issuedAtMs: this.#clock.monotonicMs() });
  }
}
