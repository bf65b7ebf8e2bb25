import { computeWatcherRanking } from "../../decisions/computeWatcherRanking";
import { CachedRanking } from "./cachedRanking";

describe("CachedRanking", () => {
    it("ranks as without a cache, and anew only when the hosts have changed", () => {
        const ranking = new CachedRanking("pvl-a");
        const hosts = ["10.0.0.1", "10.0.0.2", "10.0.0.3"];
        const ranked = ranking.update(hosts);
        expect(ranked).toEqual(computeWatcherRanking("pvl-a", hosts));
        expect(ranking.update([...hosts])).toBe(ranked);
        expect(ranking.update(hosts.slice(1))).toEqual(computeWatcherRanking("pvl-a", hosts.slice(1)));
        expect(ranking.update([])).toEqual([]);
    });
});
