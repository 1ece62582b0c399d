// Bundles each program in bin/ into dist/, so that a program starts without a compile step.
import { readdirSync, rmSync } from "node:fs";
import { build } from "esbuild";

rmSync("dist", { recursive: true, force: true });
await build({
  entryPoints: readdirSync("bin")
    .filter((name) => name.endsWith(".ts"))
    .map((name) => `bin/${name}`),
  outdir: "dist",
  outExtension: { ".js": ".mjs" },
  bundle: true,
  splitting: true,
  chunkNames: "chunks/[name]-[hash]",
  format: "esm",
  platform: "node",
  // jsonc-parser's main file loads its parts in a way that cannot be bundled; its module file can.
  mainFields: ["module", "main"],
  target: "node20",
  minifySyntax: true,
  sourcemap: true,
  logLevel: "warning",
  // Bundled CommonJS dependencies call require for Node's own modules.
  banner: {
    js: 'import { createRequire as createRequireForBundle } from "node:module"; const require = createRequireForBundle(import.meta.url);',
  },
  external: ["cbor-extract"],
});
