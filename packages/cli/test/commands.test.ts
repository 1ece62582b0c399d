import { writeFileSync } from "node:fs";
import { join } from "node:path";
import t from "tap";
import type { Test } from "tap";
import { runCommand } from "@clementinemux/demo/runCommand";
import { SystemFleet } from "@clementinemux/system/SystemFleet";
import { waitUntil } from "@clementinemux/system/waitUntil";

// Only a hanging command takes this long.
t.setTimeout(100_000);

interface Result {
  readonly code: number | null;
  readonly stdout: string;
  readonly stderr: string;
}

type Run = (...args: readonly string[]) => Promise<Result>;

async function startCli(t: Test): Promise<{ fleet: SystemFleet; run: Run }> {
  const fleet = await SystemFleet.start({ engineCount: 1, entryCount: 1 });
  t.teardown(() => fleet.stop());
  const options = ["--control", fleet.apiUrls.join(","), "--token-file", fleet.tokenFile, "--author", "ann"];
  const run: Run = async (...args) => {
    const startedAtMs = performance.now();
    const result = await runCommand(join(process.cwd(), "dist/clementinemux.mjs"), [...args, ...options]);
    const tookMs = Math.round(performance.now() - startedAtMs);
    t.comment(`${args.slice(0, 2).join(" ")} ended with ${result.code ?? "a signal"} after ${tookMs} ms`);
    return result;
  };
  return { fleet, run };
}

// Guards against configuration commands whose requests or responses do not match control's API.
t.test("config commands against real control", async (t) => {
  const { fleet, run } = await startCli(t);
  const set = await run("config", "set", "addressTtlMs", "20000", "--json");
  t.match([set.code, JSON.parse(set.stdout)], [0, { outcome: "accepted", revision: 1, inForce: true }]);
  const shown = await run("config", "show", "--json");
  const config = JSON.parse(shown.stdout) as { revision: number; defaults: { addressTtlMs: number } };
  t.match(config, { revision: 1, defaults: { addressTtlMs: 20_000 } });
  t.match(await run("config", "show"), { code: 0, stdout: /^revision 1\n/ });
  const file = join(fleet.folder, "defaults.jsonc");
  writeFileSync(file, JSON.stringify({ ...config.defaults, addressTtlMs: 15_000 }));
  const diff = await run("config", "diff", file);
  t.equal(diff.stdout, "- addressTtlMs = 20000\n+ addressTtlMs = 15000\n");
  const stale = await run("config", "apply", file, "--revision", "0");
  t.match([stale.code, stale.stdout], [3, /conflict: revision 1 by ann/]);
  t.match(await run("config", "apply", file), { code: 0, stdout: /accepted as revision 2, in force/ });
  t.match(await run("config", "apply", file), { code: 0, stdout: /nothing to change at revision 2/ });
  t.match(await run("config", "set", "maxAttempts", "0"), { code: 4, stdout: /invalid: change.defaults/ });
  const history = await run("config", "history");
  t.match(history, {
    code: 0,
    stdout: /REVISION +ACCEPTED +AUTHOR +CHANGE\n1 +20\S+Z +ann +set_defaults\n2 /,
  });
  const records = JSON.parse((await run("config", "history", "--json")).stdout) as unknown[];
  t.match(records, [{ revision: 1, author: "ann" }, { revision: 2 }]);
  const status = await run("status");
  t.match(status, { code: 0, stdout: /GROUP +ROLE +LEADER[^]*\nconfig +(leader with lease|follower) +127/ });
  t.match(JSON.parse((await run("status", "--json")).stdout), { revision: 2, confirmed: true });
});

// Guards against exceptions without a reason, exceptions that outlive their expiry, and drains that the list
// omits.
t.test("exceptions and drains against real control", async (t) => {
  const { fleet, run } = await startCli(t);
  const add = ["exception", "add", "--id", "sale", "--team", "quotes", "--set", "requestClass=important"];
  t.not((await run(...add)).code, 0, "a reason is required");
  t.match(await run(...add, "--reason", " "), { code: 4, stdout: /a reason is required/ });
  // The exception must outlast the next two commands, which take several seconds each on a busy machine.
  t.match(await run(...add, "--reason", "Spring sale", "--expires-in", "10m"), { code: 0 });
  t.match(await run("exception", "list"), {
    stdout: /sale +team=quotes +requestClass=important .*Spring sale/,
  });
  t.match(await run("exception", "remove", "sale", "--reason", "Over"), { code: 0 });
  t.match(await run(...add, "--reason", "Short sale", "--expires-in", "4s"), { code: 0 });
  await waitUntil("expiry", async () => ((await fleet.getConfig()).exceptions.length === 0 ? true : null));
  t.match(await run(...add, "--reason", "Again"), { code: 0 });
  t.match(await run("exception", "remove", "sale", "--reason", "Over"), { code: 0 });
  t.match(await run("exception", "remove", "sale", "--reason", "Over"), { code: 4 });
  t.match(await run("target", "drain", "runner-1", "--reason", "Fan"), { code: 0, stdout: /in force/ });
  t.match(await run("target", "list"), { code: 0, stdout: /runner-1 .*drained/ });
  t.match(await run("target", "undrain", "runner-1"), { code: 0 });
  t.match(await run("target", "undrain", "runner-1"), { code: 4 });
  t.match(await run("target", "list"), { stdout: /runner-1 .*announced/ });
  writeFileSync(fleet.tokenFile, "wrong");
  t.match(await run("status"), { code: 4, stderr: /bearer token/ });
});
