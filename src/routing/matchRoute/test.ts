import { createRoute, createRoutingTable } from "../../testing/createRoute";
import { createRoutingIndex } from "../createRoutingIndex";
import { matchRoute } from "./index";

const createIndex = () =>
    createRoutingIndex(createRoutingTable(1, [
        createRoute({ name: "short", prefix: "/a/" }),
        createRoute({ name: "long", prefix: "/a/b/" }),
        createRoute({ name: "other", host: "other.example", prefix: "/" }),
    ]));

describe("matchRoute", () => {
    it("chooses the longest matching prefix of the host", () => {
        expect(matchRoute(createIndex(), "desk.example", "/a/b/c?x=/z/")?.name).toBe("long");
        expect(matchRoute(createIndex(), "DESK.example:80", "/a/bc")?.name).toBe("short");
        expect(matchRoute(createIndex(), "other.example", "/whatever")?.name).toBe("other");
    });

    it("matches no other host or path, and only whole path segments", () => {
        expect(matchRoute(createIndex(), "unknown.example", "/a/b/")).toBeUndefined();
        expect(matchRoute(createIndex(), "desk.example", "/ab/")).toBeUndefined();
        expect(matchRoute(createIndex(), "desk.example", "/a")).toBeUndefined();
        expect(matchRoute(createIndex(), "desk.example", "/q?/a/")).toBeUndefined();
    });
});
