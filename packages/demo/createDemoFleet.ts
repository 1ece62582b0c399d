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

/** Lists the processes of the demo and their settings. */
export function createDemoFleet(): DemoFleet {
  const control = { name: "control-1", host, port: basePort, failureDomain: "fd-1", region: "local" };
  const relays = [`${host}:${control.port}`];
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
      { program: "clementinemux-control", name: "control-1", settings: control },
      { program: "standin-engine", name: "engine-1", settings: engine },
      { program: "clementinemux-agent", name: "agent-1", settings: agent },
      { program: "clementinemux-entry", name: "entry-1", settings: entry },
    ],
    entryUrl: `http://${host}:${entry.port}`,
  };
}
