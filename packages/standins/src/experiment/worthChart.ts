// Two policies side by side over the day, as one SVG picture.

import { LineChart } from 'echarts/charts';
import { GridComponent, LegendComponent, TitleComponent } from 'echarts/components';
import { init, use } from 'echarts/core';
import { SVGRenderer } from 'echarts/renderers';
import type { Account } from './evaluation.js';

use([LineChart, GridComponent, LegendComponent, TitleComponent, SVGRenderer]);

const size = { width: 900, height: 420 } as const;

/** Worth by window for each policy. */
export function plot(title: string, accounts: ReadonlyMap<string, Account>): string {
  const chart = init(null, null, { renderer: 'svg', ssr: true, ...size });
  const [first] = accounts.values();
  chart.setOption({
    animation: false,
    title: { text: title },
    legend: { data: [...accounts.keys()], top: 28 },
    grid: { top: 70 },
    xAxis: { type: 'category', name: 's', data: first?.windows.map(({ name }) => name) ?? [] },
    yAxis: { type: 'value', name: 'worth', min: 0, max: 1 },
    series: [...accounts].map(([name, { windows }]) => ({
      name,
      type: 'line',
      data: windows.map(({ worth }) => Number(worth.toFixed(3))),
    })),
  });
  const svg = chart.renderToSVGString();
  chart.dispose();
  return svg;
}
