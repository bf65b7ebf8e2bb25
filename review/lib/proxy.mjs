/** TCP proxy that can swallow all bytes, as a partition does, or let them pass. */
import { connect, createServer } from "node:net";

export class Proxy {
    #pairs = new Set();
    #isCut = false;
    #server;
    /** Times at which a watch was sent through the proxy. */
    watchTimes = [];

    constructor(target) {
        this.#server = createServer(client => this.#accept(client, target));
    }

    open(host, port) {
        return new Promise((resolve, reject) => {
            this.#server.once("error", reject);
            this.#server.listen(port, host, resolve);
        });
    }

    close() {
        this.#server.close();
        this.#pairs.forEach(sockets => sockets.forEach(socket => socket.destroy()));
    }

    /** Begins or ends a cut: bytes stay where they are until it ends, and no connection is reset by it. */
    setCut(isCut) {
        this.#isCut = isCut;
        this.#pairs.forEach(sockets => sockets.forEach(socket => isCut ? socket.pause() : socket.resume()));
    }

    #accept(client, target) {
        const server = connect(target.port, target.host);
        const sockets = [client, server];
        this.#pairs.add(sockets);
        sockets.forEach((socket, index) => {
            const other = sockets[1 - index];
            socket.on("data", bytes => {
                if (index === 0 && bytes.includes("/api/kv-watch")) {
                    this.watchTimes.push(Date.now());
                }
                other.write(bytes);
            });
            socket.on("error", () => undefined);
            socket.once("close", () => {
                this.#pairs.delete(sockets);
                other.destroy();
            });
            if (this.#isCut) {
                socket.pause();
            }
        });
    }
}
