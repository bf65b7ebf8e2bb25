import { createServer, type Server } from "node:net";

const openServer = (): Promise<Server> =>
    new Promise((resolve, reject) => {
        const server = createServer();
        server.once("error", reject);
        server.listen(0, "127.0.0.1", () => resolve(server));
    });

const readPort = (server: Server): number => (server.address() as { readonly port: number; }).port;

/** Finds ports on loopback that nothing listens on. */
export const findFreePorts = async (count: number): Promise<readonly number[]> => {
    const servers = await Promise.all(Array.from({ length: count }, openServer));
    const ports = servers.map(readPort);
    await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
    return ports;
};
