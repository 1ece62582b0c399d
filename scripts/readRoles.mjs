import { readFileSync } from "node:fs";

/** Reads the programs of deploy/system.toml: role, flags of Node and program file. */
export function readRoles() {
  const text = readFileSync("deploy/system.toml", "utf8");
  return [...text.matchAll(/^\[roles\.(\w+)\]\n((?:(?!\[).*\n?)*)/gm)].map(([, role, body]) => {
    const [, ...words] = /^run = "(.+)"$/m.exec(body)[1].split(" ");
    const at = words.findIndex((word) => !word.startsWith("-"));
    return { role, flags: words.slice(0, at), program: words[at] };
  });
}
