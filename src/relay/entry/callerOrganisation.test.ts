import { computeKeyDigest } from "../../routing/computeKeyDigest";
import { DiscardingSink } from "../../tasks/_lib/answerSink";
import { createOrganisations } from "../../testing/createOrganisations";
import { createRoute, createRoutingTable } from "../../testing/createRoute";
import { FakeCallRequest } from "../../testing/fakeExchange";
import { VirtualClock } from "../../testing/virtualClock";
import { CallerOrganisation } from "./callerOrganisation";

const table = createRoutingTable(1, [createRoute()], [
    { name: "org-1", keyDigests: [computeKeyDigest("key-1")], quota: { ratePerSecond: 1, burst: 0 }, rank: 1 },
]);

describe("CallerOrganisation", () => {
    // Guards against tokens that nobody has granted, which would let more requests in than the quota allows.
    it("gives back a token once, and none that the request didn't get", () => {
        const organisations = createOrganisations(new VirtualClock());
        organisations.adopt(table);
        const releases: string[] = [];
        const { tokens } = organisations;
        tokens.release = ({ name }) => void releases.push(name);
        const createCaller = (): CallerOrganisation => {
            const caller = new CallerOrganisation(organisations);
            const request = new FakeCallRequest(
                "GET",
                "/lookup/1",
                ["authorization", "Token key-1"],
                undefined,
                new DiscardingSink(),
            );
            expect(caller.identify(request, createRoute(), false)).toBeUndefined();
            return caller;
        };
        tokens.take = (unused, settle) => settle({ kind: "unsure" });
        const refused = createCaller();
        refused.takeToken(problem => expect(problem).toMatchObject({ status: 503, outcome: "not-run" }));
        refused.releaseToken();
        expect(releases).toEqual([]);
        tokens.take = (unused, settle) => settle({ kind: "granted" });
        const admitted = createCaller();
        admitted.takeToken(problem => expect(problem).toBeUndefined());
        admitted.releaseToken();
        admitted.releaseToken();
        expect(releases).toEqual(["org-1"]);
        expect(admitted.readRank(createRoute({ rank: 2 }))).toBe(1);
    });
});
