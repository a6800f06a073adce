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

/** Draws how long requests wait for loads, by strategy. */
final class PlacementPlot {
    private static final int WIDTH = 1000;
    private static final int HEIGHT = 600;
    private static final int POINTS = 200;
    private static final double MICROS_PER_SECOND = 1e6;
    private static final double LEAST_SECONDS = 0.01;

    private PlacementPlot() {}

    /**
     * Writes a PNG file.
     *
     * @throws IOException if it cannot be written
     */
    static void write(Path file, Scenario scenario, Map<String, RunResult> results)
            throws IOException {
        XYChart chart =
                new XYChartBuilder()
                        .width(WIDTH)
                        .height(HEIGHT)
                        .title("Waits for loads, " + scenario.name())
                        .xAxisTitle("seconds")
                        .yAxisTitle("requests that wait longer, %")
                        .build();
        chart.getStyler().setXAxisLogarithmic(true);
        results.forEach((name, result) -> addSeries(chart, name, result));
        BitmapEncoder.saveBitmap(chart, file.toString(), BitmapFormat.PNG);
    }

    private static void addSeries(XYChart chart, String name, RunResult result) {
        double[] seconds = new double[POINTS];
        double[] percent = new double[POINTS];
        Histogram waits = result.stallMicros();
        double most = Math.max(2 * LEAST_SECONDS, waits.getMaxValue() / MICROS_PER_SECOND);
        for (int i = 0; i < POINTS; i++) {
            double part = (double) i / (POINTS - 1);
            seconds[i] = LEAST_SECONDS * Math.pow(most / LEAST_SECONDS, part);
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
