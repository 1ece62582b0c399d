import { randomBytes } from "node:crypto";
import { readFileSync } from "node:fs";
import { periodic } from "most";
import type { Logger } from "roarr";
import type * as z from "zod";
import { buildId } from "@clementinemux/common/buildId";
import type { Clock } from "@clementinemux/common/Clock";
import { createRandom } from "@clementinemux/common/createRandom";
import type { MembershipChange } from "@clementinemux/consensus/MembershipChange";
import { MembershipChangeKind } from "@clementinemux/consensus/MembershipChangeKind";
import type { FleetConfig } from "@clementinemux/fleet/FleetConfig";
import { createLogger } from "@clementinemux/logging/createLogger";
import { CrashService } from "@clementinemux/membership/CrashService";
import { LimitService } from "@clementinemux/membership/LimitService";
import { RelayService } from "@clementinemux/membership/RelayService";
import type { ChangeMemberRequest } from "@clementinemux/messages/ChangeMemberRequest";
import type { DecideMapRequest } from "@clementinemux/messages/DecideMapRequest";
import type { FetchConfigRequest } from "@clementinemux/messages/FetchConfigRequest";
import type { GroupLeaseRequest } from "@clementinemux/messages/GroupLeaseRequest";
import { LeaseholderKind } from "@clementinemux/messages/LeaseholderKind";
import type { RenewRequest } from "@clementinemux/messages/RenewRequest";
import { Counters } from "@clementinemux/metrics/Counters";
import { renderProcess } from "@clementinemux/metrics/renderProcess";
import { renderCounters } from "@clementinemux/metrics/renderCounters";
import type { MessageHandler } from "@clementinemux/wire/MessageHandler";
import { MessageName } from "@clementinemux/wire/MessageName";
import { PeerLinks } from "@clementinemux/wire/PeerLinks";
import { readTlsFiles } from "@clementinemux/wire/readTlsFiles";
import { RpcServer } from "@clementinemux/wire/RpcServer";
import { ApiServer } from "./ApiServer";
import { ClaimCommandKind } from "./ClaimCommandKind";
import { ClaimStateMachine } from "./ClaimStateMachine";
import { ClaimService } from "./ClaimService";
import { ConfigStateMachine } from "./ConfigStateMachine";
import { ConfigParts } from "./ConfigParts";
import { ConfigService } from "./ConfigService";
import { ControlClient } from "./ControlClient";
import { ControlError } from "./ControlError";
import { ControlErrorCode } from "./ControlErrorCode";
import type { ControlSettings } from "./ControlSettings";
import { GroupHost } from "./GroupHost";
import { ServingRelay } from "./ServingRelay";
import { createApiRoutes } from "./createApiRoutes";

const tickIntervalMs = 10;
const stallMs = 200;
const expiryIntervalMs = 500;
const bootstrapIntervalMs = 300;
const shutdownDeadlineMs = 5000;
const fatalExitCode = 74;

/**
 * Control process: hosts replicas of log groups, grants serving leases, and keeps the directory of targets.
 */
export class ControlServer {
  readonly #settings: z.output<typeof ControlSettings>;
  readonly #clock: Clock;
  readonly #logger: Logger;
  readonly #directory: RelayService;
  readonly #host: GroupHost;
  readonly #client: ControlClient;
  readonly #relay: ServingRelay;
  readonly #configMachine = new ConfigStateMachine();
  readonly #parts = new ConfigParts();
  readonly #claimMachines = new Map<string, ClaimStateMachine>();
  readonly #config: ConfigService;
  readonly #claims: ClaimService;
  readonly #server: RpcServer;
  readonly #refusals = new Counters(
    "clementinemux_control_refusals",
    "reason",
    Object.values(ControlErrorCode),
  );
  #api: ApiServer | null = null;
  #tickedAtMs = 0;

  constructor(settings: z.output<typeof ControlSettings>, clock: Clock) {
    const { name, failureDomain, region, maxClockDriftShare, claimGroups } = settings;
    this.#settings = settings;
    this.#clock = clock;
    this.#logger = createLogger("clementinemux-control", { name });
    const tls = readTlsFiles(settings.tls);
    const random = createRandom((Date.now() ^ (process.pid << 8)) >>> 0);
    const links = new PeerLinks(tls);
    const onFatal = (error: Error): void => {
      this.#logger.fatal({ error: error.message }, "storage failed");
      process.exit(fatalExitCode);
    };
    const ownAddress = `${settings.host}:${settings.port}`;
    this.#directory = new RelayService({
      name,
      failureDomain,
      peers: (settings.relays ?? settings.replicas).filter((address) => address !== ownAddress),
      tls,
      clock,
      random,
      onError: (error) => {
        this.#logger.error({ error: String(error) }, "membership");
      },
    });
    this.#host = new GroupHost({ settings, links, clock, random, logger: this.#logger, onFatal });
    this.#client = new ControlClient({ addresses: settings.replicas, claimGroups, clock, random, tls });
    const incarnation = `${clock.wallMs()}-${Math.floor(random() * 1e9)}`;
    this.#relay = new ServingRelay({
      name,
      incarnation,
      failureDomain,
      region,
      client: this.#client,
      clock,
      maxClockDriftShare,
    });
    this.#config = new ConfigService({
      group: () => this.#host.get("config"),
      machine: this.#configMachine,
      clock,
      logger: this.#logger,
      maxClockDriftShare,
    });
    this.#claims = new ClaimService({
      find: (groupName) => ({
        group: this.#host.get(groupName),
        machine: this.#claimMachines.get(groupName) ?? new ClaimStateMachine(),
      }),
      claimGroups,
      clock,
      getDefaults: () => this.#relay.view.config.defaults,
    });
    this.#server = new RpcServer({ handlers: this.#createHandlers(), tls });
  }

  async start(): Promise<void> {
    const settings = this.#settings;
    // The port is the lock of the data folder: until it is free, another process may still write there.
    await this.#server.reserve(settings.host, settings.port, this.#logger);
    for (const name of settings.dataFolder === undefined ? [] : settings.groups) {
      if (name === "config") {
        await this.#host.open(name, this.#configMachine, () => {
          this.#config.onElected();
        });
      } else {
        const machine = new ClaimStateMachine();
        this.#claimMachines.set(name, machine);
        await this.#host.open(name, machine, () => undefined);
      }
    }
    this.#server.open();
    this.#directory.start();
    await this.#startApi();
    this.#tickedAtMs = this.#clock.monotonicMs();
    void periodic(tickIntervalMs).observe(() => {
      this.#tick();
    });
    void periodic(settings.relayRenewIntervalMs).observe(() => {
      this.#parts.release(this.#clock.monotonicMs());
      this.#run("renewal", () => this.#relay.renew());
    });
    if (this.#host.find("config") !== null) {
      void periodic(expiryIntervalMs).observe(() => {
        this.#run("expiry", () => this.#config.expireExceptions());
      });
    }
    if (settings.bootstrap) {
      void periodic(bootstrapIntervalMs).observe(() => {
        this.#run("bootstrap", () => this.#host.bootstrap());
      });
    }
    this.#logger.info({ port: settings.port, groups: this.#host.groups.map(({ name }) => name) }, "started");
  }

  /** Answers the calls that were read. Resolves when the process may exit. */
  async shutDown(): Promise<void> {
    const endAtMs = performance.now() + shutdownDeadlineMs;
    await this.#api?.drain(endAtMs);
    await this.#server.drain(endAtMs);
  }

  /** Skips a tick after a stall, so that messages received meanwhile are read before timeouts are checked. */
  #tick(): void {
    const nowMs = this.#clock.monotonicMs();
    const isStalled = nowMs - this.#tickedAtMs > tickIntervalMs + stallMs;
    this.#tickedAtMs = nowMs;
    if (!isStalled) {
      this.#run("tick", () => {
        this.#host.tick();
        return Promise.resolve();
      });
    }
  }

  /** Logs exceptions, since one inside an observer would end its stream. */
  #run(what: string, action: () => Promise<void>): void {
    Promise.resolve()
      .then(action)
      .catch((error: unknown) => {
        this.#logger.error({ error: error instanceof Error ? (error.stack ?? "") : String(error) }, what);
      });
  }

  async #startApi(): Promise<void> {
    const { apiPort, tokensFile, apiTls, host } = this.#settings;
    if (apiPort === undefined || tokensFile === undefined) {
      return;
    }
    const tls =
      apiTls === undefined
        ? null
        : { key: readFileSync(apiTls.keyFile, "utf8"), cert: readFileSync(apiTls.certFile, "utf8") };
    const api = new ApiServer({
      tokens: JSON.parse(readFileSync(tokensFile, "utf8")) as Record<string, string>,
      tls,
      routes: createApiRoutes({
        client: this.#client,
        relay: this.#relay,
        clock: this.#clock,
        getStatus: () => this.#getStatus(),
        getTargets: () => this.#directory.handlers[MessageName.FetchTargets]?.({}, "api"),
      }),
      renderMetrics: () =>
        renderProcess() +
        [this.#refusals, this.#host.dropped, this.#directory.counters].map(renderCounters).join(""),
    });
    await api.listen(host, apiPort, this.#logger);
    this.#api = api;
  }

  #createHandlers(): Record<string, MessageHandler> {
    const handlers: Record<string, MessageHandler> = {
      [MessageName.Raft]: (body) => {
        this.#host.onRaft(body);
      },
      [MessageName.ReplicaInfo]: (body) => this.#host.getInfo((body as { group: string }).group),
      [MessageName.ChangeMember]: (body) => this.#changeMember(body as ChangeMemberRequest),
      [MessageName.FetchConfig]: (body) =>
        this.#parts.read(this.#getNewestConfig(), body as FetchConfigRequest, this.#clock.monotonicMs()),
      [MessageName.Propose]: (body) => this.#config.propose(body),
      [MessageName.Renew]: (body) => {
        const request = body as RenewRequest;
        return request.kind === LeaseholderKind.Relay
          ? this.#config.renew(request)
          : this.#relay.grant(request);
      },
      [MessageName.InForce]: (body) => this.#config.getInForce((body as { revision: number }).revision),
      [MessageName.FetchHistory]: (body) => this.#config.getHistory((body as { after: number }).after),
      [MessageName.GroupLease]: (body) => this.#config.leaseGroup(body as GroupLeaseRequest),
      [MessageName.DecideMap]: (body) => this.#config.decideMap(body as DecideMapRequest),
      [MessageName.Claim]: (body) => this.#claims.run(ClaimCommandKind.Claim, body),
      [MessageName.CompleteClaim]: (body) => this.#claims.run(ClaimCommandKind.Complete, body),
      [MessageName.CancelClaim]: (body) => this.#claims.run(ClaimCommandKind.Cancel, body),
      [MessageName.LookupClaim]: (body) => this.#claims.lookup(body),
    };
    const counted = Object.entries(handlers).map(([name, handler]): [string, MessageHandler] => [
      name,
      async (body, peer) => {
        try {
          return await handler(body, peer);
        } catch (error) {
          if (error instanceof ControlError) {
            this.#refusals.add(error.code);
          }
          throw error;
        }
      },
    ]);
    const limits = new LimitService({ clock: this.#clock, relayStart: randomBytes(6).toString("hex") });
    const crashes = new CrashService(this.#clock);
    const services = { ...this.#directory.handlers, ...limits.handlers, ...crashes.handlers };
    return { ...services, ...Object.fromEntries(counted) };
  }

  /** The relay of this process lags behind its log replica; without a replica the relay's view is used. */
  #getNewestConfig(): FleetConfig {
    const { config } = this.#configMachine;
    const { config: relayed } = this.#relay.view;
    return config.revision > relayed.revision ? config : relayed;
  }

  async #changeMember(request: ChangeMemberRequest): Promise<unknown> {
    const group = this.#host.get(request.group);
    if (!group.isLeader) {
      throw group.createNotLeaderError();
    }
    const change = await this.#createMembershipChange(request);
    const result = await group.changeMembership(change);
    result.ifLeft((error) => {
      throw error;
    });
    const { action, replicaId = "", address = "" } = request;
    this.#logger.info({ group: group.name, action, replicaId, address }, "membership changed");
    return group.membership;
  }

  async #createMembershipChange({
    group,
    action,
    address,
    replicaId,
  }: ChangeMemberRequest): Promise<MembershipChange> {
    if (action === "add_learner" && address !== undefined) {
      const info = await this.#host.fetchInfo(address, group);
      if (info?.replicaId === undefined || info.replicaId === null) {
        throw new ControlError(ControlErrorCode.Refused, `${address} holds no replica of group "${group}"`);
      }
      const { name, replicaId: newId } = info;
      return { kind: MembershipChangeKind.AddLearner, replicaId: newId, member: { name, address } };
    }
    if (replicaId === undefined || action === "add_learner") {
      throw new ControlError(
        ControlErrorCode.Invalid,
        "add_learner needs address; promote and remove need replicaId",
      );
    }
    const kind = action === "promote" ? MembershipChangeKind.Promote : MembershipChangeKind.Remove;
    return { kind, replicaId };
  }

  #getStatus(): unknown {
    return {
      build: buildId,
      name: this.#settings.name,
      confirmed: this.#relay.isConfirmed,
      revision: this.#relay.view.config.revision,
      leaseholders: this.#relay.leaseholders,
      groups: this.#host.groups.map(({ name, core, hasLease, membership, isStorageFull }) => ({
        name,
        replicaId: core.id,
        role: core.role,
        term: core.term,
        leader: core.leader,
        hasLease,
        commitIndex: core.commitIndex,
        appliedIndex: core.appliedIndex,
        lastIndex: core.lastIndex,
        isStorageFull,
        membership,
        matchIndexes: Object.fromEntries(
          Object.keys({ ...membership.voters, ...membership.learners }).map((id) => [
            id,
            core.getMatchIndex(id),
          ]),
        ),
      })),
    };
  }
}
