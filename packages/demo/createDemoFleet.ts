import { join } from "node:path";

interface DemoProcess {
  readonly program: string;
  readonly name: string;
  readonly settings: Readonly<Record<string, unknown>>;
}

interface DemoFleet {
  readonly processes: readonly DemoProcess[];
  readonly entryUrl: string;
}

const host = "127.0.0.1";
const basePort = 17_100;

/** Lists the processes of the demo and their settings. Their files are created in `folder`. */
export function createDemoFleet(folder: string): DemoFleet {
  const relays = [0, 1, 2].map((index) => `${host}:${basePort + index}`);
  const controls = relays.map((_, index) => ({
    name: `control-${index + 1}`,
    host,
    port: basePort + index,
    failureDomain: `fd-${index + 1}`,
    region: "local",
    dataFolder: join(folder, `control-${index + 1}`),
    replicas: relays,
    bootstrap: true,
  }));
  const engine = { host, port: basePort + 10, models: ["demo"], tokenIntervalMs: 10, firstTokenMs: 30 };
  const agent = {
    target: "runner-1",
    host,
    port: basePort + 20,
    failureDomain: "fd-1",
    region: "local",
    kind: "engine",
    models: ["demo"],
    targetAddress: `${host}:${engine.port}`,
    relays,
  };
  const entry = {
    name: "entry-1",
    host,
    port: basePort + 30,
    failureDomain: "fd-1",
    region: "local",
    relays,
    anonymousTeam: "demo",
  };
  return {
    processes: [
      ...controls.map((settings) => ({
        program: "clementinemux-control",
        name: settings.name,
        settings,
      })),
      { program: "standin-engine", name: "engine-1", settings: engine },
      { program: "clementinemux-agent", name: "agent-1", settings: agent },
      { program: "clementinemux-entry", name: "entry-1", settings: entry },
    ],
    entryUrl: `http://${host}:${entry.port}`,
  };
}
