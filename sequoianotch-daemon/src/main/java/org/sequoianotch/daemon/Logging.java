package org.sequoianotch.daemon;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.appender.ConsoleAppender;
import org.apache.logging.log4j.core.config.Configurator;
import org.apache.logging.log4j.core.config.builder.api.AppenderComponentBuilder;
import org.apache.logging.log4j.core.config.builder.api.ConfigurationBuilder;
import org.apache.logging.log4j.core.config.builder.api.ConfigurationBuilderFactory;
import org.apache.logging.log4j.core.config.builder.api.LayoutComponentBuilder;
import org.apache.logging.log4j.core.config.builder.impl.BuiltConfiguration;
import org.sequoianotch.settings.NodeSetting;
import org.sequoianotch.settings.NodeSettings;

/** Configures Log4j from the settings. This class is thread-safe. */
public final class Logging {
    private static final String TEXT_PATTERN = "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} %-5p %m%n%xEx";

    private Logging() {}

    static void configure(NodeSettings settings) {
        ConfigurationBuilder<BuiltConfiguration> builder = newBuilder();
        LayoutComponentBuilder layout = settings.text(NodeSetting.LOG_LAYOUT).equals("json")
                ? builder.newLayout("JsonTemplateLayout").addAttribute("eventTemplateUri", "classpath:EcsLayout.json")
                : textLayout(builder);
        builder.add(console(builder, ConsoleAppender.Target.SYSTEM_ERR, layout));
        addLoggers(builder, "console", Level.valueOf(settings.text(NodeSetting.LOG_LEVEL)));
        Configurator.reconfigure(builder.build());
    }

    private static ConfigurationBuilder<BuiltConfiguration> newBuilder() {
        ConfigurationBuilder<BuiltConfiguration> builder = ConfigurationBuilderFactory.newConfigurationBuilder();
        builder.setShutdownHook("disable");
        return builder;
    }

    private static LayoutComponentBuilder textLayout(ConfigurationBuilder<BuiltConfiguration> builder) {
        return builder.newLayout("PatternLayout").addAttribute("pattern", TEXT_PATTERN);
    }

    private static AppenderComponentBuilder console(
            ConfigurationBuilder<BuiltConfiguration> builder,
            ConsoleAppender.Target target,
            LayoutComponentBuilder layout) {
        return builder.newAppender("console", "Console")
                .addAttribute("target", target)
                .add(layout);
    }

    private static void addLoggers(ConfigurationBuilder<BuiltConfiguration> builder, String appender, Level level) {
        builder.add(builder.newRootLogger(Level.WARN).add(builder.newAppenderRef(appender)));
        builder.add(builder.newLogger("org.sequoianotch", level)
                .addAttribute("additivity", false)
                .add(builder.newAppenderRef(appender)));
    }
}
