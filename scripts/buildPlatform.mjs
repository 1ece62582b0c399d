// Bundles the programs of platform/bin into target/, or the folder that is named: for each a loader, which the deploy file
// starts, and in programs/ the program with V8's code cache. A finished file takes the place of the earlier one in one
// step; a loader that finds a program and a cache of two builds does without the cache.
import { execFileSync } from "node:child_process";
import { copyFileSync, mkdirSync, readdirSync, renameSync, rmSync } from "node:fs";
import { basename } from "node:path";
import { build } from "esbuild";
import { bundleOptions } from "./bundleOptions.mjs";
import { platformAliases } from "./platformAliases.mjs";
import { readRoles } from "./readRoles.mjs";

// Programs that are named after the folder are built from platform/standins.
const [folder = "target", ...standIns] = process.argv.slice(2);
const staging = `${folder}/build-${process.pid}`;
const programs = [
  ...readdirSync("platform/bin").map((file) => ({
    name: basename(file, ".ts"),
    source: `platform/bin/${file}`,
  })),
  ...standIns.map((name) => ({ name, source: `platform/standins/${name}.ts` })),
];
const commonOptions = {
  ...bundleOptions,
  // Node loads a CommonJS file with less work than a module, and a script may have a code cache.
  format: "cjs",
  banner: {},
  // The loader reads programs as ASCII.
  charset: "ascii",
  alias: platformAliases,
  minifyWhitespace: true,
  minifySyntax: true,
  sourcemap: false,
};

// Also after a failed build, which would leave its files in the folder of the programs.
process.once("exit", () => rmSync(staging, { recursive: true, force: true }));
mkdirSync(`${staging}/programs`, { recursive: true });
mkdirSync(`${folder}/programs`, { recursive: true });
await build({
  ...commonOptions,
  entryPoints: programs.map(({ name, source }) => ({ in: source, out: name })),
  outdir: `${staging}/programs`,
  outExtension: { ".js": ".js" },
  banner: { js: "(function (require) {" },
  footer: { js: "})" },
  // cbor-x reads it only where there is no require.
  define: { ...bundleOptions.define, "import.meta.url": "undefined" },
});
await build({
  ...commonOptions,
  entryPoints: ["platform/start/loader.ts", "platform/start/createCodeCache.ts"],
  outdir: staging,
  outExtension: { ".js": ".cjs" },
});
for (const { name } of programs) {
  // A stand-in is no role of the deploy file and has no flags.
  const { flags } = readRoles().find(({ role }) => role === name) ?? { flags: [] };
  const program = `${staging}/programs/${name}.js`;
  const cache = `${staging}/programs/${name}.cache`;
  execFileSync(process.execPath, [...flags, `${staging}/createCodeCache.cjs`, program, cache]);
  copyFileSync(`${staging}/loader.cjs`, `${staging}/${name}.cjs`);
  for (const file of [`programs/${name}.js`, `programs/${name}.cache`, `${name}.cjs`]) {
    renameSync(`${staging}/${file}`, `${folder}/${file}`);
  }
}
