package ebonygw.bench.placement;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.BitmapEncoder.BitmapFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.XYSeries;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Plots the distribution of the time that requests wait for adapter loads, for each strategy. */
final class PlacementPlot {
    private static final int WIDTH = 1000;
    private static final int HEIGHT = 600;
    private static final int POINTS = 200;
    private static final double MICROS_PER_SECOND = 1e6;
    private static final double MIN_SECONDS = 0.01;

    private PlacementPlot() {}

    /**
     * Writes the plot as a PNG file.
     *
     * @throws IOException if the file cannot be written
     */
    static void write(Path file, Scenario scenario, Map<String, RunResult> results)
            throws IOException {
        XYChart chart =
                new XYChartBuilder()
                        .width(WIDTH)
                        .height(HEIGHT)
                        .title("Waiting time for adapter loads, " + scenario.name())
                        .xAxisTitle("seconds")
                        .yAxisTitle("requests that wait longer (%)")
                        .build();
        chart.getStyler().setXAxisLogarithmic(true);
        results.forEach((name, result) -> addSeries(chart, name, result));
        BitmapEncoder.saveBitmap(chart, file.toString(), BitmapFormat.PNG);
    }

    private static void addSeries(XYChart chart, String name, RunResult result) {
        double[] seconds = new double[POINTS];
        double[] percent = new double[POINTS];
        Histogram waits = result.stallMicros();
        double maxSeconds = Math.max(2 * MIN_SECONDS, waits.getMaxValue() / MICROS_PER_SECOND);
        for (int i = 0; i < POINTS; i++) {
            double fraction = (double) i / (POINTS - 1);
            seconds[i] = MIN_SECONDS * Math.pow(maxSeconds / MIN_SECONDS, fraction);
            long longer =
                    waits.getTotalCount()
                            - waits.getCountBetweenValues(
                                    0, (long) (seconds[i] * MICROS_PER_SECOND));
            percent[i] = 100.0 * longer / result.requests();
        }
        XYSeries series = chart.addSeries(name, seconds, percent);
        series.setMarker(SeriesMarkers.NONE);
    }
}
