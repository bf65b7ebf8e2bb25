/** TCP proxy between a node and the store. It can hold all bytes back, only those of watches, or reset connections. */
import { once } from "node:events";
import { connect, createServer, type Server, type Socket } from "node:net";
import { storeWatchPath } from "../../platform/testing/platformFiles";

/** How connections are treated; "silent-watch" holds back the answers on connections that have carried a watch. */
export type ProxyMode = "open" | "cut" | "silent-watch" | "refusal";

interface Pair {
    readonly client: Socket;
    readonly server: Socket;
    hasWatch: boolean;
}

/** Passes the bytes of a node's connections to the store on. */
export class StoreProxy {
    private mode: ProxyMode = "open";
    private readonly pairs = new Set<Pair>();
    private readonly listener: Server;
    private storePort = 0;

    constructor() {
        this.listener = createServer(client => this.handleConnection(client));
    }

    /** Opens the listener; resolves to its port. */
    async open(storePort: number): Promise<number> {
        this.storePort = storePort;
        this.listener.listen(0, "127.0.0.1");
        await once(this.listener, "listening");
        const address = this.listener.address();
        return typeof address === "object" && address ? address.port : 0;
    }

    /** Sets how present and later connections are treated. */
    updateMode(mode: ProxyMode): void {
        this.mode = mode;
        this.pairs.forEach(pair => this.applyMode(pair));
    }

    close(): void {
        this.listener.close();
        this.pairs.forEach(({ client, server }) => {
            client.destroy();
            server.destroy();
        });
    }

    private handleConnection(client: Socket): void {
        const server = connect(this.storePort, "127.0.0.1");
        const pair: Pair = { client, server, hasWatch: false };
        this.pairs.add(pair);
        client.on("data", (bytes: Buffer) => {
            pair.hasWatch ||= bytes.includes(storeWatchPath);
            this.applyMode(pair);
            server.write(bytes);
        });
        server.on("data", (bytes: Buffer) => client.write(bytes));
        [client, server].forEach(socket => {
            socket.on("error", () => socket.destroy());
            socket.once("close", () => {
                this.pairs.delete(pair);
                client.destroy();
                server.destroy();
            });
        });
        this.applyMode(pair);
    }

    private applyMode({ client, server, hasWatch }: Pair): void {
        if (this.mode === "refusal") {
            client.resetAndDestroy();
            return;
        }
        const isHeld = this.mode === "cut" || this.mode === "silent-watch" && hasWatch;
        [client, server].forEach(socket => isHeld ? socket.pause() : socket.resume());
    }
}
