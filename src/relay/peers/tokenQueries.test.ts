/** Load pattern: a holder of tokens whose connection has gone silent, as after a cut or a paused node. */
import { type AddressInfo, connect, createServer, type Server, type Socket } from "node:net";
import { systemClock } from "../../tasks/_lib/clock";
import { TimerWheel } from "../../tasks/_lib/timerWheel";
import { createReport } from "../../testing/createReport";
import { openLinkListener } from "../link/linkServer";
import { emptyTokenQuery, type TokenAnswer } from "../organisations/tokenMessages";
import { Peers } from ".";

const host = "127.0.0.1";
const answer: TokenAnswer = { ticketMs: 7, incarnation: "i-1", isReturned: false, grants: [] };

const servers: Server[] = [];
const sockets: Socket[] = [];
let peers: Peers;

const openSilentFirst = async (): Promise<number> => {
    const holder = await openLinkListener({ host, port: 0 }, {
        serve: () => () => undefined,
        computeDeadline: remainingMs => remainingMs,
        onVersionSeen: () => undefined,
        serveTokens: () => answer,
        onFrameFailed: () => undefined,
        createStreamReport: () => createReport(),
    });
    const front = createServer(socket => {
        sockets.push(socket);
        socket.on("error", () => socket.destroy());
        if (sockets.length > 1) {
            socket.pipe(connect((holder.address() as AddressInfo).port, host)).pipe(socket);
        }
    });
    servers.push(holder, front);
    await new Promise<void>(resolve => front.listen(0, host, resolve));
    return (front.address() as AddressInfo).port;
};

afterEach(() => {
    peers.stop();
    sockets.splice(0).forEach(socket => socket.destroy());
    servers.splice(0).forEach(server => server.close());
});

describe("token queries", () => {
    it("use a new connection after one that has gone silent", async () => {
        const linkPort = await openSilentFirst();
        const wheel = new TimerWheel(systemClock);
        peers = new Peers({
            clock: systemClock,
            wheel,
            httpPort: 1,
            linkPort,
            readVersion: () => 1,
            onReport: () => undefined,
            onUnresponsive: () => undefined,
            onFrameFailed: () => undefined,
        });
        peers.start();
        const sendQuery = (): Promise<TokenAnswer | undefined> =>
            new Promise(resolve => peers.queryTokens(host, emptyTokenQuery, resolve));
        expect(await sendQuery()).toBeUndefined();
        expect(await sendQuery()).toEqual(answer);
    });
});
