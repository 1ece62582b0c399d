// Bundles the programs of platform/bin into target/, or the folder that is named, one file each, so that a start reads a
// single file. A finished file takes the place of the earlier one in one step, so that a process that starts during a
// build finds either of them.
import { mkdirSync, readdirSync, renameSync, rmSync } from "node:fs";
import { build } from "esbuild";
import { bundleOptions } from "./bundleOptions.mjs";

const [folder = "target"] = process.argv.slice(2);
const staging = `${folder}/build-${process.pid}`;
mkdirSync(staging, { recursive: true });
await build({
  ...bundleOptions,
  entryPoints: readdirSync("platform/bin").map((name) => `platform/bin/${name}`),
  outdir: staging,
  minify: true,
  keepNames: true,
  sourcemap: false,
});
for (const name of readdirSync(staging)) {
  renameSync(`${staging}/${name}`, `${folder}/${name}`);
}
rmSync(staging, { recursive: true });
