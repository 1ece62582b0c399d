import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { randomUUID } from "node:crypto";
import { pipeline } from "node:stream/promises";
import { periodic } from "most";
import { Pool, request as requestHttp } from "undici";
import type * as z from "zod";
import type { AgentState } from "@clementinemux/agent/AgentState";
import { Outcome } from "@clementinemux/common/Outcome";
import { RefusalReason } from "@clementinemux/common/RefusalReason";
import type { TargetAnnouncement } from "@clementinemux/common/TargetAnnouncement";
import { headerNames } from "@clementinemux/common/headerNames";
import { MessageName } from "@clementinemux/wire/MessageName";
import { RpcClient } from "@clementinemux/wire/RpcClient";
import { parseAddress } from "@clementinemux/wire/parseAddress";
import type { EntrySettings } from "./EntrySettings";

interface KnownTarget {
  readonly announcement: TargetAnnouncement;
  readonly pool: Pool;
  state: AgentState | null;
}

const relayTimeoutMs = 1000;

/** Entry process: takes callers' requests and sends each to a target. */
export class EntryServer {
  readonly #settings: z.output<typeof EntrySettings>;
  readonly #relays: readonly RpcClient[];
  readonly #targets = new Map<string, KnownTarget>();
  readonly #server: Server;

  constructor(settings: z.output<typeof EntrySettings>) {
    this.#settings = settings;
    this.#relays = settings.relays.map((relay) => new RpcClient({ address: parseAddress(relay) }));
    this.#server = createServer((request, response) => {
      this.#handle(request, response).catch(() => response.destroy());
    });
  }

  async start(): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(this.#settings.port, this.#settings.host, resolve);
    });
    void periodic(this.#settings.pollIntervalMs).observe(() => {
      void this.#refresh();
    });
  }

  async #refresh(): Promise<void> {
    for (const relay of this.#relays) {
      const answer = await relay.call(MessageName.FetchTargets, {}, relayTimeoutMs);
      if (answer.isRight()) {
        for (const announcement of answer.extract() as TargetAnnouncement[]) {
          this.#learn(announcement);
        }
        break;
      }
    }
    await Promise.all([...this.#targets.values()].map((target) => this.#poll(target)));
  }

  #learn(announcement: TargetAnnouncement): void {
    const known = this.#targets.get(announcement.target);
    if (known?.announcement.incarnation === announcement.incarnation) {
      return;
    }
    this.#targets.set(announcement.target, {
      announcement,
      pool: new Pool(`http://${announcement.address}`, { pipelining: 1 }),
      state: null,
    });
  }

  async #poll(target: KnownTarget): Promise<void> {
    try {
      const { body } = await requestHttp(`http://${target.announcement.address}/agent/state`, {
        headersTimeout: relayTimeoutMs,
      });
      target.state = (await body.json()) as AgentState;
    } catch {
      target.state = null;
    }
  }

  async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const requestId = randomUUID();
    const candidates = [...this.#targets.values()].filter(({ state }) => state?.accepting === true);
    const target = candidates[Math.floor(Math.random() * candidates.length)];
    if (request.method !== "POST" || target?.state === undefined || target.state === null) {
      const problem = { outcome: Outcome.NotRun, reason: RefusalReason.NoTarget, requestId };
      response.writeHead(503, { "content-type": "application/problem+json" }).end(JSON.stringify(problem));
      return;
    }
    const answer = await target.pool.request({
      method: "POST",
      path: request.url ?? "/",
      headers: {
        "content-type": "application/json",
        [headerNames.requestId]: requestId,
        [headerNames.attemptId]: `${requestId}.1`,
        [headerNames.stamp]: target.state.stamp,
      },
      body: request,
    });
    response.writeHead(answer.statusCode, {
      "content-type": String(answer.headers["content-type"] ?? "application/json"),
      [headerNames.requestId]: requestId,
      "clementinemux-target": target.announcement.target,
    });
    await pipeline(answer.body, response);
  }
}
