import { setTimeout as delay } from "node:timers/promises";
import { Left, Right } from "purify-ts/Either";
import t from "tap";
import { SystemClock } from "@clementinemux/common/SystemClock";
import { ControlError } from "@clementinemux/control/ControlError";
import { ControlErrorCode } from "@clementinemux/control/ControlErrorCode";
import { EvacuationOutcome } from "@clementinemux/control/evacuation/EvacuationOutcome";
import { EvacuationService } from "@clementinemux/control/evacuation/EvacuationService";
import { RouteStateMachine } from "@clementinemux/control/routes/RouteStateMachine";
import { createLogger } from "@clementinemux/logging/createLogger";
import { PeerLinks } from "@clementinemux/wire/PeerLinks";

const start = { failureDomain: "d", isEvacuated: true };
const end = { failureDomain: "d", isEvacuated: false };
const isConnected = (): boolean => true;

/** A leader whose log holds commands back while `isHeld`, or loses its lead once with the outcome unknown. */
function createLeader() {
  const machine = new RouteStateMachine();
  const held: (() => void)[] = [];
  const log = { isHeld: false, isDeposedOnce: false, hasLease: true, proposals: 0 };
  const error = new ControlError(ControlErrorCode.OutcomeUnknown, "outcome unknown");
  const service = new EvacuationService({
    group: {
      get hasLease() {
        return log.hasLease;
      },
      propose: (command) =>
        new Promise((resolve) => {
          log.proposals += 1;
          const isDeposed = log.isDeposedOnce;
          log.isDeposedOnce = false;
          const apply = (): void => {
            const result = machine.apply(command);
            resolve(isDeposed ? Left(error) : Right(result));
          };
          if (log.isHeld) {
            held.push(apply);
          } else {
            apply();
          }
        }),
      getLeaderAddress: () => null,
      createNotLeaderError: () => new ControlError(ControlErrorCode.NotLeader, "no leader"),
    },
    table: machine.evacuations,
    isKnown: (name) => name === "d",
    isComplete: () => true,
    links: new PeerLinks(undefined),
    clock: new SystemClock(),
    logger: createLogger("test", {}),
  });
  const release = (): void => {
    log.isHeld = false;
    held.splice(0).forEach((apply) => {
      apply();
    });
  };
  return { service, machine, log, release };
}

// Guards against a call without an answer that takes effect after its evacuation was ended through another coordinator.
t.test("a command that is committed after a later call has no effect, and is not tried again", async (t) => {
  const { service, machine, log, release } = createLeader();
  log.isHeld = true;
  const late = service.change(start, isConnected);
  await delay(50);
  log.isHeld = false;
  t.equal(await service.change(start, isConnected), EvacuationOutcome.Acknowledged, "the repeated call");
  t.equal(await service.change(end, isConnected), EvacuationOutcome.Acknowledged);
  t.equal(await late, EvacuationOutcome.Unavailable);
  release();
  await delay(50);
  t.same(machine.evacuations.state.failureDomains, []);
  t.equal(log.proposals, 3);
});

// Guards against a call that is carried out after its caller has given up and sent a later one.
t.test("a call whose caller has left is not carried out", async (t) => {
  const { service, machine, log } = createLeader();
  log.hasLease = false;
  const caller = { isConnected: true };
  const call = service.change(start, () => caller.isConnected);
  await delay(60);
  caller.isConnected = false;
  log.hasLease = true;
  t.equal(await call, EvacuationOutcome.Unavailable);
  t.same([log.proposals, machine.evacuations.state.revision], [0, 0]);
});

// Guards against an acknowledgement of a change that was lost with its leader, and one that is made twice.
t.test("a call is tried again when its leader is deposed", async (t) => {
  const { service, machine, log } = createLeader();
  log.isDeposedOnce = true;
  t.equal(await service.change(start, isConnected), EvacuationOutcome.Acknowledged);
  t.match(machine.evacuations.state, { revision: 2, failureDomains: ["d"] });
});

t.test("repeated calls are acknowledged, also for a failure domain without members", async (t) => {
  const { service, machine } = createLeader();
  for (const change of [start, start, end, end]) {
    t.equal(await service.change(change, isConnected), EvacuationOutcome.Acknowledged);
  }
  const none = { failureDomain: "none", isEvacuated: true };
  t.equal(await service.change(none, isConnected), EvacuationOutcome.UnknownFailureDomain);
  t.equal(machine.evacuations.state.revision, 4);
});

// Guards against an invalid proposal that enters the log, where it would crash every replica.
t.test("invalid proposals are refused", async (t) => {
  const { service, log } = createLeader();
  const base = { revision: 0, failureDomains: [], ended: [] };
  const proposal = { ...start, base, isForwarded: true };
  for (const fields of [{ failureDomain: 1 }, { base: null }, { base: { ...base, revision: NaN } }]) {
    await t.rejects(service.propose({ ...proposal, ...fields }));
  }
  await t.rejects(service.propose(null));
  t.equal(log.proposals, 0);
});
