import { execFile } from "node:child_process";
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import t from "tap";
import type { Test } from "tap";
import { GroupFleet } from "@clementinemux/bench/experts/GroupFleet";
import { LeaderPhase } from "@clementinemux/experts/activation/LeaderPhase";
import type { WeightStoreServer } from "@clementinemux/standins/weightStore/WeightStoreServer";

const programs = join(process.cwd(), "dist");
// Upper bound of the skew for the weights of deployment B, which are nearer to the default weights than A's.
const maxBalancedSkew = 1.15;

// The test runs real processes on a busy machine; only a hang takes this long.
t.setTimeout(240_000);

function pauseReplies(store: WeightStoreServer): void {
  store.isWithholding = true;
}

async function waitForBalance(t: Test, fleet: GroupFleet): Promise<void> {
  const counts = await fleet.waitFor("an activated map with a lower skew", async () => {
    const { mapVersion, skew } = await fleet.getCounts();
    return (mapVersion ?? 0) > 0 && skew !== null && skew < maxBalancedSkew ? { mapVersion, skew } : null;
  });
  t.ok(counts.skew < maxBalancedSkew, `skew ${counts.skew}`);
  const { stepCount } = await fleet.getCounts();
  const last = await fleet.waitFor("more steps", async () => {
    const present = await fleet.getCounts();
    return present.stepCount > stepCount + 20 ? present : null;
  });
  t.equal(last.mixedSteps, 0, "steps in which ranks used different maps");
  t.equal(last.staleOrders, 0, "orders of a replaced leader that reached an engine");
}

// Guards against an elected leader whose plan never reaches the engines. All processes are real.
t.test("skewed load leads to an activated map", async (t) => {
  const fleet = await GroupFleet.start({ programs, replicas: 3, prepareStore: pauseReplies });
  t.teardown(() => fleet.stop());
  const first = await fleet.waitFor("load before the first map", async () => (await fleet.getCounts()).skew);
  t.ok(first > maxBalancedSkew, `skew ${first} at the start`);
  fleet.store.sendWithheld();
  await waitForBalance(t, fleet);
  const { agent, answer } = await fleet.waitForLeader();
  t.equal(answer.report?.rankLoads.length, 4);
  t.type(answer.report?.lastPlan?.predictedSkew, "number");
  const other = fleet.agents.find(({ name }) => name !== agent.name)!;
  const elsewhere = await fleet.waitFor("the leader's name at another agent", async () => {
    const status = await fleet.getGroupStatus(other);
    return status.lead === agent.name ? status : null;
  });
  t.match(elsewhere, { leadAddress: `127.0.0.1:${agent.port}`, report: null });
});

// Guards against an activation that counts a rank as prepared although it has restarted since.
t.test("rank restarted between prepare and activate", async (t) => {
  const fleet = await GroupFleet.start({ programs, replicas: 1, prepareStore: pauseReplies });
  t.teardown(() => fleet.stop());
  await fleet.waitFor("a group that prepares a map", async () => {
    const { answer } = await fleet.waitForLeader();
    return answer.report?.phase === LeaderPhase.Preparing && fleet.store.withheldCount > 0 ? true : null;
  });
  await fleet.restartRank(1);
  const restarted = await fleet.waitFor("the map to be aborted and the rank to join", async () => {
    const { status } = await fleet.fetchSnapshot(1);
    return status.isJoined && status.prepared === null ? status : null;
  });
  t.equal(restarted.schedule.at(-1)?.version, 0, "no map is active that the rank has not prepared");
  fleet.store.sendWithheld();
  await waitForBalance(t, fleet);
});

// Guards against orders of a suspended leader that resumes after its lease has expired, at engines without
// fencing.
t.test("leader suspended for longer than its lease", async (t) => {
  const fleet = await GroupFleet.start({ programs, replicas: 3, prepareStore: pauseReplies });
  t.teardown(() => fleet.stop());
  const old = await fleet.waitFor("a leader that prepares a map", async () => {
    const leader = await fleet.waitForLeader();
    return leader.answer.report?.phase === LeaderPhase.Preparing && fleet.store.withheldCount > 0
      ? leader
      : null;
  });
  const rank = fleet.agents.findIndex(({ name }) => name !== old.agent.name);
  const { stamp: oldStamp, status } = await fleet.fetchSnapshot(rank);
  old.agent.child.kill("SIGSTOP");
  const next = await fleet.waitForLeader(old.answer.epoch);
  const lateOrder = {
    kind: "arm",
    version: 1,
    beforeStep: 0,
    epoch: old.answer.epoch,
    rank,
    stamp: status.stamp,
  };
  const order = { epoch: old.answer.epoch, order: lateOrder };
  await fleet.waitFor("the first order of the new leader", async () => {
    const { status: present } = await fleet.fetchSnapshot(rank);
    return present.epochSeen === next.answer.epoch ? true : null;
  });
  t.match(await fleet.sendOrder(rank, { ...order, stamp: oldStamp }), {
    status: 503,
    body: { reason: "stamp_too_old" },
  });
  const { stamp } = await fleet.fetchSnapshot(rank);
  t.match(await fleet.sendOrder(rank, { ...order, stamp }), {
    status: 503,
    body: { reason: "epoch_too_old" },
  });
  old.agent.child.kill("SIGCONT");
  const resumed = await fleet.waitFor("the old leader to step down", async () => {
    const answer = await fleet.getGroupStatus(old.agent);
    return answer.report === null && answer.epoch > old.answer.epoch ? answer : null;
  });
  t.not(resumed.lead, "");
  fleet.store.sendWithheld();
  await waitForBalance(t, fleet);
});

// Guards against a rank that waits forever for weights after a lost reply, and against the activation of a
// map that is only partly prepared.
t.test("lost weight-store replies", async (t) => {
  const fleet = await GroupFleet.start({
    programs,
    replicas: 1,
    prepareStore: (store) => (store.lostResponseCount = 3),
  });
  t.teardown(() => fleet.stop());
  await waitForBalance(t, fleet);
  t.equal(fleet.store.counts.lost, 3);
});

interface CliResult {
  readonly exitCode: number;
  readonly stdout: string;
  readonly stderr: string;
}

function runCli(fleet: GroupFleet, args: readonly string[]): Promise<CliResult> {
  const tokenFile = join(fleet.control.folder, "token");
  writeFileSync(tokenFile, "token-ann");
  const control = `http://127.0.0.1:${fleet.control.replicas[0]?.apiPort ?? 0}`;
  const options = ["--control", control, "--token-file", tokenFile];
  const program = join(programs, "clementinemux.mjs");
  return new Promise((resolve) => {
    execFile(process.execPath, [program, ...args, ...options], (error, stdout, stderr) => {
      resolve({ exitCode: error === null ? 0 : Number(error.code), stdout, stderr });
    });
  });
}

// Guards against commands sent to an agent that is not the leader, a dry run that changes the map, and exit
// codes that scripts cannot rely on.
t.test("command line shows and rebalances a group", async (t) => {
  const fleet = await GroupFleet.start({ programs, replicas: 1, rankGroup: { planIntervalMs: 3_600_000 } });
  t.teardown(() => fleet.stop());
  const dryRun = await fleet.waitFor("a dry run with moves", async () => {
    const result = await runCli(fleet, ["group", "rebalance", "group-1", "--dry-run", "--json"]);
    return result.exitCode === 0 && result.stdout.includes('"isChanged": true') ? result.stdout : null;
  });
  t.match(JSON.parse(dryRun), { started: false, plan: { reason: /moves|split_only/, bytes: Number } });
  const text = await runCli(fleet, ["group", "rebalance", "group-1", "--dry-run"]);
  t.match(
    text.stdout,
    /reason: .*\nskew now .* predicted .*\nmoves: .* GB, .*\nstep time saved .* work delayed/,
  );
  t.equal((await fleet.getCounts()).mapVersion, 0, "a dry run changes nothing");
  const started = await fleet.waitFor("a started rebalance", async () => {
    const result = await runCli(fleet, ["group", "rebalance", "group-1"]);
    return result.exitCode === 0 ? result.stdout : null;
  });
  t.match(started, "the lead activates the map");
  await waitForBalance(t, fleet);
  const shown = await fleet.waitFor("the new map in the report", async () => {
    const result = await runCli(fleet, ["group", "show", "group-1"]);
    return result.exitCode === 0 && /map version [1-9]/.test(result.stdout) ? result.stdout : null;
  });
  t.match(shown, /group group-1: lead runner-\d at .*epoch 1\n.*skew \d.*\nrank 0 #+/);
  t.match(shown, "no slow ranks");
  const missing = await runCli(fleet, ["group", "show", "group-2"]);
  t.match(missing, { exitCode: 4, stderr: /no target of group "group-2"/ });
  const help = await runCli(fleet, ["group", "rebalance", "--help"]);
  t.match(help.stdout, /--dry-run/);
});
