// Draws the results of the compared policies over time as an SVG chart.

import { LineChart } from 'echarts/charts';
import { GridComponent, LegendComponent, TitleComponent } from 'echarts/components';
import { init, use } from 'echarts/core';
import { SVGRenderer } from 'echarts/renderers';
import type { Evaluation } from './evaluation.js';

use([LineChart, GridComponent, LegendComponent, TitleComponent, SVGRenderer]);

const chartSize = { width: 900, height: 420 } as const;

/** One line for each policy: worth by time window. */
export function renderWorthChart(
  title: string,
  evaluations: ReadonlyMap<string, Evaluation>,
): string {
  const chart = init(null, null, { renderer: 'svg', ssr: true, ...chartSize });
  const [first] = evaluations.values();
  chart.setOption({
    animation: false,
    title: { text: title },
    legend: { data: [...evaluations.keys()], top: 28 },
    grid: { top: 70 },
    xAxis: { type: 'category', name: 's', data: first?.windows.map(({ name }) => name) ?? [] },
    yAxis: { type: 'value', name: 'worth', min: 0, max: 1 },
    series: [...evaluations].map(([name, { windows }]) => ({
      name,
      type: 'line',
      data: windows.map(({ worth }) => Number(worth.toFixed(3))),
    })),
  });
  const svg = chart.renderToSVGString();
  chart.dispose();
  return svg;
}
