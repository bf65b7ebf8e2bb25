/** Renders goodput over time as an SVG plot. */
import { type GoodputPoint } from "../types";

/** A series of the plot. */
export interface PlotLine {
    readonly label: string;
    readonly color: string;
    readonly points: readonly GoodputPoint[];
}

/** Title and time axis of a plot, with the span of the trigger. */
export interface PlotOptions {
    readonly title: string;
    readonly triggerStartMs: number;
    readonly triggerEndMs: number;
    readonly durationMs: number;
}

const width = 880;
const height = 360;
const margin = { left: 60, right: 20, top: 40, bottom: 60 };
const tickCount = 5;
const timeTickMs = 5_000;

const escapeText = (text: string): string => text.replaceAll("&", "&amp;").replaceAll("<", "&lt;");

const renderText = (x: number, y: number, text: string, attributes = ""): string =>
    `<text x="${x.toFixed(1)}" y="${y.toFixed(1)}" ${attributes}>${escapeText(text)}</text>`;

/** Renders goodput over time as SVG, with the span of the trigger shaded. */
export const renderPlot = (lines: readonly PlotLine[], options: PlotOptions): string => {
    const maxPerSecond = Math.max(1, ...lines.flatMap(line => line.points.map(point => point.perSecond))) * 1.05;
    const plotWidth = width - margin.left - margin.right;
    const plotHeight = height - margin.top - margin.bottom;
    const scaleX = (atMs: number): number => margin.left + atMs / options.durationMs * plotWidth;
    const scaleY = (value: number): number => margin.top + plotHeight - value / maxPerSecond * plotHeight;
    const valueTicks = [...Array(tickCount + 1).keys()].map(index => index / tickCount * maxPerSecond);
    const timeTicksMs = [...Array(Math.floor(options.durationMs / timeTickMs) + 1).keys()].map(index =>
        index * timeTickMs
    );
    const grid = [
        ...valueTicks.flatMap(value => [
            `<line x1="${margin.left}" x2="${width - margin.right}" y1="${scaleY(value)}" y2="${
                scaleY(value)
            }" stroke="#ddd"/>`,
            renderText(margin.left - 6, scaleY(value) + 4, value.toFixed(0), 'text-anchor="end"'),
        ]),
        ...timeTicksMs.map(atMs =>
            renderText(scaleX(atMs), height - margin.bottom + 18, `${atMs / 1_000} s`, 'text-anchor="middle"')
        ),
    ];
    const triggerWidth = scaleX(options.triggerEndMs) - scaleX(options.triggerStartMs);
    const curves = lines.map(line => {
        const points = line.points.map(point =>
            `${scaleX(point.atMs).toFixed(1)},${scaleY(point.perSecond).toFixed(1)}`
        );
        return `<polyline fill="none" stroke="${line.color}" stroke-width="2" points="${points.join(" ")}"/>`;
    });
    const legend = lines.flatMap((line, index) => {
        const x = margin.left + index * 200;
        const y = height - 18;
        return [
            `<line x1="${x}" x2="${x + 24}" y1="${y - 4}" y2="${y - 4}" stroke="${line.color}" stroke-width="3"/>`,
            renderText(x + 30, y, line.label),
        ];
    });
    return [
        `<svg xmlns="http://www.w3.org/2000/svg" width="${width}" height="${height}" font-family="sans-serif" font-size="12">`,
        `<rect width="${width}" height="${height}" fill="white"/>`,
        renderText(margin.left, 22, options.title, 'font-size="15"'),
        `<rect x="${
            scaleX(options.triggerStartMs)
        }" y="${margin.top}" width="${triggerWidth}" height="${plotHeight}" fill="#fbe3d6"/>`,
        ...grid,
        ...curves,
        ...legend,
        "</svg>",
        "",
    ].join("\n");
};
