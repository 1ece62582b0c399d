import { createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { createServer as createTlsServer } from "node:tls";
import type { Test } from "tap";

interface Certificate {
  readonly key: string;
  readonly cert: string;
}

/** Server on loopback whose responses are written by the test as raw bytes. */
export class ScriptedServer {
  readonly port: number;
  readonly sockets: readonly Socket[];

  private constructor(port: number, sockets: readonly Socket[]) {
    this.port = port;
    this.sockets = sockets;
  }

  /** `respond` is called for each request, which has to arrive in one piece; the server ends with the test. */
  static async start(t: Test, respond: (socket: Socket) => void, certificate?: Certificate) {
    const sockets: Socket[] = [];
    const accept = (socket: Socket): void => {
      sockets.push(socket);
      socket.setNoDelay(true).on("error", () => undefined);
      socket.on("data", () => {
        respond(socket);
      });
    };
    const server = certificate === undefined ? createServer(accept) : createTlsServer(certificate, accept);
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
    t.teardown(() => {
      server.close();
      sockets.forEach((socket) => socket.destroy());
    });
    return new ScriptedServer((server.address() as AddressInfo).port, sockets);
  }
}
