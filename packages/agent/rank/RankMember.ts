import type { IncomingMessage, ServerResponse } from "node:http";
import type * as z from "zod";
import type { Clock } from "@clementinemux/common/Clock";
import { ControlClient } from "@clementinemux/control/ControlClient";
import type { GroupDefaults } from "@clementinemux/fleet/GroupDefaults";
import type { MessageName } from "@clementinemux/wire/MessageName";
import type { TlsFiles } from "@clementinemux/wire/TlsFiles";
import type { RankGroupSettings } from "../RankGroupSettings";
import type { TargetClient } from "../TargetClient";
import { GroupElection } from "../lead/GroupElection";
import type { RebalanceResponse } from "../lead/RebalanceResponse";
import { RankEngineClient } from "./RankEngineClient";

interface RankMemberOptions {
  readonly group: string;
  readonly target: string;
  /** `host:port` of this agent. */
  readonly address: string;
  readonly incarnation: string;
  readonly settings: z.output<typeof RankGroupSettings>;
  readonly controlReplicas: readonly string[];
  readonly tls: TlsFiles | undefined;
  readonly client: TargetClient;
  readonly clock: Clock;
  readonly createStamp: () => string;
  readonly getEpochSeen: () => number;
  readonly getGroups: () => GroupDefaults;
  readonly getOrderMaxAgeMs: () => number;
  readonly callRelay: (name: MessageName, body: unknown) => Promise<unknown>;
  readonly log: (fields: Readonly<Record<string, string | number>>, text: string) => void;
}

const misdirectedRequestStatus = 421;

/** Election and HTTP routes of an agent in a rank group. Loaded only if the target is a rank of a group. */
export class RankMember {
  readonly #options: RankMemberOptions;
  readonly #engine: RankEngineClient;
  readonly #control: ControlClient;
  readonly #election: GroupElection;

  constructor(options: RankMemberOptions) {
    this.#options = options;
    const { client, settings, createStamp, getEpochSeen, clock, tls } = options;
    const { statusPath, mapPath } = settings;
    this.#engine = new RankEngineClient({ client, statusPath, mapPath, createStamp, getEpochSeen });
    const random = Math.random;
    const addresses = options.controlReplicas;
    this.#control = new ControlClient({ addresses, claimGroups: 1, clock, random, tls });
    const { group, target, address, incarnation } = options;
    this.#election = new GroupElection({
      group,
      self: { target, address },
      incarnation,
      settings,
      control: this.#control,
      clock,
      random,
      createLeader: (terms) => this.#createLeader(terms),
    });
  }

  start(): void {
    void this.#election.run();
  }

  stop(): void {
    this.#election.stop();
    this.#control.close();
  }

  /** Handles a request below `/agent/rank` or `/agent/group`. Returns false when there is no such route. */
  handle(request: IncomingMessage, response: ServerResponse): boolean {
    const { pathname, searchParams } = new URL(request.url ?? "", "http://agent");
    const routes: Readonly<Record<string, () => void>> = {
      "GET /agent/rank": () => {
        const snapshot = this.#engine.fetchSnapshot(searchParams.has("report"));
        this.#respondWhenReady(response, snapshot.then(JSON.stringify));
      },
      "GET /agent/rank/map": () => {
        this.#respondWhenReady(response, this.#engine.fetchMap(Number(searchParams.get("version"))));
      },
      "GET /agent/group": () => {
        sendJson(response, 200, JSON.stringify(this.#election.getStatus()));
      },
      "POST /agent/group/rebalance": () => {
        this.#rebalance(response, searchParams.has("dryRun"));
      },
    };
    const key = `${request.method ?? ""} ${pathname}`;
    if (!Object.hasOwn(routes, key)) {
      return false;
    }
    routes[key]?.();
    return true;
  }

  #respondWhenReady(response: ServerResponse, text: Promise<string>): void {
    text.then(
      (body) => {
        sendJson(response, 200, body);
      },
      (error: unknown) => {
        const message = error instanceof Error ? error.message : String(error);
        sendJson(response, 502, JSON.stringify({ error: message }));
      },
    );
  }

  #rebalance(response: ServerResponse, isDryRun: boolean): void {
    const { leader } = this.#election;
    if (leader === null) {
      sendJson(response, misdirectedRequestStatus, JSON.stringify(this.#election.getStatus()));
      return;
    }
    const result: RebalanceResponse = leader.rebalance(isDryRun);
    sendJson(response, result.refusal === "" ? 200 : 409, JSON.stringify(result));
  }

  async #createLeader(terms: {
    readonly epoch: number;
    readonly decidedVersion: number;
    readonly leaseEndsAtMs: number;
  }) {
    // Loaded on demand, so that the planner and the clients of other agents use memory only in the leader.
    const [{ GroupLeader }, { GroupPeers }] = await Promise.all([
      import("../lead/GroupLeader"),
      import("../lead/GroupPeers"),
    ]);
    const { group, settings, clock, getGroups, getOrderMaxAgeMs, callRelay, tls, log } = this.#options;
    return new GroupLeader({
      ...terms,
      group,
      settings,
      // By then, any order of the previous leader with a stamp from before the grant is too old.
      startAtMs: clock.monotonicMs() + getOrderMaxAgeMs(),
      clock,
      getGroups,
      control: this.#control,
      peers: new GroupPeers({ group, tls, call: callRelay }),
      log,
    });
  }
}

function sendJson(response: ServerResponse, status: number, body: string): void {
  response.writeHead(status, { "content-type": "application/json" }).end(body);
}
