import { computeWatcherRanking } from "./index";

const hosts = Array.from({ length: 40 }, (unused, index) => `10.0.0.${index}`);

describe("computeWatcherRanking", () => {
    it("ranks the same for any order of the hosts, each host once", () => {
        const ranked = computeWatcherRanking("a", hosts);
        expect(computeWatcherRanking("a", [...hosts].reverse().concat(hosts))).toEqual(ranked);
        expect(new Set(ranked)).toEqual(new Set(hosts));
        expect(computeWatcherRanking("b", hosts)).not.toEqual(ranked);
    });

    it("keeps the order of the others when a host leaves", () => {
        const ranked = computeWatcherRanking("a", hosts);
        const rest = computeWatcherRanking("a", hosts.filter(host => host !== ranked[0]));
        expect(rest).toEqual(ranked.slice(1));
    });
});
