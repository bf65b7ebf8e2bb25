import { request as sendRequest } from "node:http";
import { createRoute, createRoutingTable } from "../testing/createRoute";
import { type RelayFleet, sendOkAnswer, startRelayFleet } from "../testing/startRelayFleet";

let fleet: RelayFleet;

beforeEach(async () => {
    fleet = await startRelayFleet([["desk", sendOkAnswer]]);
});

afterEach(() => fleet.stop());

const readStatus = (): Promise<number> =>
    new Promise((resolve, reject) => {
        const { admin, readinessPath } = fleet.members[0]!.settings;
        const request = sendRequest({ ...admin, path: readinessPath, agent: false }, response => {
            response.resume();
            resolve(response.statusCode!);
        });
        request.once("error", reject);
        request.end();
    });

describe("a node's readiness", () => {
    // Guards against nodes that get requests by a configuration that they can't keep current.
    it("ends while the tasks that learn fail again and again", async () => {
        expect(await readStatus()).toBe(503);
        fleet.publish(createRoutingTable(1, [createRoute()]));
        expect(await readStatus()).toBe(200);
        const { source } = fleet.members[0]!;
        jest.spyOn(source, "isFailing").mockReturnValue(true);
        expect(await readStatus()).toBe(503);
        jest.restoreAllMocks();
        expect(await readStatus()).toBe(200);
    });
});
