import { connect } from "node:net";
import { parseAddress } from "./parseAddress";

/** A machine without power does not respond at all, which shows no crash of the target itself. */
const timeoutMs = 500;

/** Resolves with whether an address actively refuses connections; false if it accepts one or does not respond. */
export function isRefusingConnections(address: string): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = connect(parseAddress(address));
    const finish = (isRefusing: boolean): void => {
      socket.destroy();
      resolve(isRefusing);
    };
    socket.setTimeout(timeoutMs, () => {
      finish(false);
    });
    socket.once("connect", () => {
      finish(false);
    });
    socket.once("error", (error: NodeJS.ErrnoException) => {
      finish(error.code === "ECONNREFUSED");
    });
  });
}
