import { connect } from "node:net";
import { type Address } from "../types";

/** Timeout of the connection, in milliseconds. */
const connectTimeoutMs = 400;

/** Opens a connection and closes it; resolves to false only if it is refused, since silence doesn't tell of a crash. */
export const isListening = ({ host, port }: Address): Promise<boolean> =>
    new Promise(resolve => {
        const socket = connect({ host, port });
        const finish = (isOpen: boolean): void => {
            clearTimeout(timer);
            socket.destroy();
            resolve(isOpen);
        };
        const timer = setTimeout(() => finish(true), connectTimeoutMs);
        socket.once("connect", () => finish(true));
        socket.once("error", (error: NodeJS.ErrnoException) => finish(error.code !== "ECONNREFUSED"));
    });
